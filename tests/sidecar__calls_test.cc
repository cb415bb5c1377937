#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "knapweed/http/client.h"
#include "tests/sidecar_rig.h"

namespace knapweed {
namespace {

using Kind = SidecarRig::Kind;
using Json = nlohmann::json;

constexpr auto kStateRunning = static_cast<int>(kAttemptStateRunning);

TEST_CASE("a model call streams its text and returns all of it in the result") {
  SidecarRig rig(Kind::kEngine);
  rig.StartAndWait();
  std::string streamed;
  const wire::ResultT result =
      rig.Send(ModelDispatch("a1"), [&](std::string_view text) {
        streamed.append(text);
        return true;
      });
  CHECK(OutcomeName(result) == "ok");
  CHECK(result.status == 200);
  CHECK(result.body.size() > 0);
  CHECK(result.body == streamed);
  CHECK(result.prompt_tokens > 0);
  CHECK(result.completion_tokens == 16);
  CHECK(result.upstream == "u1");
  REQUIRE(result.load != nullptr);
  CHECK(result.load->slots == 4);
  CHECK(result.load->incarnation == rig.State()["incarnation"]);
  REQUIRE(rig.Record().size() == 1);
  const Json line = rig.Record()[0];
  CHECK(line["request_id"] == "a1");
  CHECK(line["attempt"] == "a1");
  CHECK(line["workspace"] == "w");
  CHECK(line["fencing"] == Json({{"scope", "partition/1"}, {"number", 5}}));
}

TEST_CASE("dispatches that can't run are refused as not run") {
  struct Row {
    std::string name;
    std::function<void(wire::DispatchT&)> corrupt;
    std::string verdict;
  };
  const std::vector<Row> rows = {
      {"old epoch", [](auto& it) { it.epoch = 4; }, "fenced not_run"},
      {"no such partition", [](auto& it) { it.partition = 64; },
       "bad_request not_run"},
      {"no attempt", [](auto& it) { it.attempt = ""; }, "bad_request not_run"},
      {"a name that would split a header",
       [](auto& it) { it.program = "p\r\nX-Key: k"; }, "bad_request not_run"},
      {"a body that is not JSON", [](auto& it) { it.body = "{"; },
       "bad_request not_run"},
      {"unknown model",
       [](auto& it) {
         it.model = "z";
         it.body = R"({"model":"z","messages":[]})";
       },
       "unknown_model not_run"},
  };
  SidecarRig rig(Kind::kEngine);
  rig.directory.floor = {Epoch{0}, Epoch{5}};
  rig.StartAndWait();
  for (const Row& row : rows) {
    CAPTURE(row.name);
    wire::DispatchT dispatch = ModelDispatch(row.name);
    row.corrupt(dispatch);
    const wire::ResultT result = rig.Send(std::move(dispatch));
    CHECK(OutcomeName(result) == row.verdict);
    CHECK(result.load != nullptr);
  }
  CHECK(rig.Record().empty());
}

TEST_CASE("dispatches and queries are refused until the epochs are read") {
  SidecarRig rig(Kind::kService);
  rig.directory.unavailable = true;
  rig.directory.floor = {Epoch{0}, Epoch{6}};
  rig.StartSidecar();
  CHECK(OutcomeName(rig.Send(ServiceDispatch("a"))) == "overloaded not_run");
  CHECK(rig.QueryState("a", 5) == -1);
  {
    const std::lock_guard lock(rig.directory.mu);
    rig.directory.unavailable = false;
  }
  WaitFor([&] { return rig.sidecar->ready(); });
  CHECK(OutcomeName(rig.Send(ServiceDispatch("a"))) == "fenced not_run");
  CHECK(rig.Record().empty());
  CHECK(rig.directory.Log() == std::vector<std::string>{"serving"});
}

TEST_CASE("a service call reports its run state and runs at most once") {
  struct Row {
    std::string name;
    Json control;
    bool non_idempotent;
    std::string verdict;
    int state;
    bool ran;
  };
  const std::vector<Row> rows = {
      {"well", Json::object(), true, "ok", 1, true},
      {"an error status is a result", {{"status", 409}}, true, "ok", 1, true},
      {"connection lost before it ran",
       {{"drop_before_next", 1}},
       true,
       "outcome_unknown unknown",
       2,
       false},
      {"connection lost after it ran",
       {{"drop_answer_next", 1}},
       true,
       "outcome_unknown unknown",
       2,
       true},
      {"idempotent",
       {{"drop_answer_next", 1}},
       false,
       "upstream_failed unknown",
       2,
       true},
  };
  SidecarRig rig(Kind::kService);
  rig.StartAndWait();
  for (size_t n = 0; n < rows.size(); ++n) {
    const Row& row = rows[n];
    CAPTURE(row.name);
    rig.Control(row.control);
    wire::DispatchT dispatch = ServiceDispatch(row.name);
    dispatch.non_idempotent = row.non_idempotent;
    // Sending the same attempt again returns the same result and runs nothing.
    for (int i = 0; i < 3; ++i) {
      const wire::ResultT result = rig.Send(dispatch);
      CHECK(OutcomeName(result) == row.verdict);
      CHECK(rig.QueryState(row.name, 5) == row.state);
    }
    CHECK(rig.Record().size() == n + 1);
    const Json line = rig.Record()[n];
    CHECK(line["ran"] == row.ran);
    CHECK(line["path"] == "/bookings");
    CHECK(line["attempt"] == row.name);
  }
}

TEST_CASE("a call to an unreachable upstream is reported as not run") {
  for (const Kind kind : {Kind::kEngine, Kind::kService}) {
    SidecarRig rig(kind);
    rig.StartAndWait();
    rig.StopUpstream();
    const wire::ResultT result = rig.Send(
        kind == Kind::kEngine ? ModelDispatch("a") : ServiceDispatch("a"));
    CHECK(OutcomeName(result) == "upstream_failed not_run");
    CHECK(rig.QueryState("a", 5) == 0);
  }
}

TEST_CASE("an attempt queried by a successor before it arrives never runs") {
  SidecarRig rig(Kind::kService, 1);
  rig.StartAndWait();
  CHECK(rig.QueryState("late", 6) == 0);
  wire::DispatchT late = ServiceDispatch("late");
  CHECK(OutcomeName(rig.Send(late)) == "fenced not_run");
  // It does not run for an owner with the new epoch either.
  late.epoch = 6;
  CHECK(OutcomeName(rig.Send(late)) == "fenced not_run");
  CHECK(rig.QueryState("late", 6) == 0);
  CHECK(rig.QueryState("late", 5) == -1);
  CHECK(rig.Record().empty());
}

TEST_CASE("a successor can query and attach to a call in progress") {
  SidecarRig rig(Kind::kService, 1);
  rig.StartAndWait();
  rig.Control({{"delay_before", 300}});
  RpcClient old_owner(rig.config.rpc);
  std::thread running([&] {
    CHECK(OutcomeName(
              SidecarRig::SendVia(old_owner, ServiceDispatch("runs"))) == "ok");
  });
  WaitFor([&] { return rig.Record().size() == 1; });
  std::thread queued([&] {
    CHECK(OutcomeName(SidecarRig::SendVia(
              old_owner, ServiceDispatch("waits"))) == "fenced not_run");
  });
  WaitFor([&] { return rig.State()["load"]["queued"] == 1; });
  CHECK(rig.QueryState("runs", 6) == kStateRunning);
  CHECK(rig.QueryState("waits", 6) == kStateRunning);
  // Sending it again attaches to the running call.
  wire::DispatchT again = ServiceDispatch("runs");
  again.epoch = 6;
  CHECK(OutcomeName(rig.Send(again)) == "ok");
  running.join();
  queued.join();
  CHECK(rig.QueryState("runs", 6) == 1);
  CHECK(rig.QueryState("waits", 6) == 0);
  CHECK(rig.Record().size() == 1);
}

TEST_CASE("a call that ends in the queue is reported as not run") {
  SidecarRig rig(Kind::kService, 1);
  rig.config.max_queued = 1;
  rig.StartAndWait();
  rig.Control({{"hang_next", 1}, {"hang", 1500}});
  std::thread running([&] { rig.Send(ServiceDispatch("runs")); });
  WaitFor([&] { return rig.Record().size() == 1; });
  RpcClient other(rig.config.rpc);
  SUBCASE("at its deadline") {
    wire::DispatchT dispatch = ServiceDispatch("late");
    dispatch.deadline_ms = 100;
    const wire::ResultT result =
        SidecarRig::SendVia(other, std::move(dispatch));
    CHECK(OutcomeName(result) == "deadline_exceeded not_run");
    CHECK(result.failure->retry_after_ms > 0);
  }
  SUBCASE("when it is cancelled; a full queue refuses further calls") {
    std::thread waiting([&] {
      CHECK(OutcomeName(SidecarRig::SendVia(other, ServiceDispatch("waits"))) ==
            "cancelled not_run");
    });
    WaitFor([&] { return rig.State()["load"]["queued"] == 1; });
    CHECK(OutcomeName(rig.Send(ServiceDispatch("more"))) ==
          "overloaded not_run");
    wire::CancelT cancel;
    cancel.attempt = "waits";
    rig.Request(Wrap(std::move(cancel)));
    waiting.join();
  }
  SUBCASE("when its owner disconnects") {
    {
      RpcClient owner(rig.config.rpc);
      CHECK_FALSE(owner.Call(Wrap(ServiceDispatch("orphan")), Ms{100}).ok());
      CHECK(rig.State()["load"]["queued"] == 1);
    }
    WaitFor([&] { return rig.State()["load"]["queued"] == 0; });
    CHECK(rig.QueryState("orphan", 5) == 0);
  }
  running.join();
  CHECK(rig.Record().size() == 1);
}

TEST_CASE("a running model call is cancelled at its engine") {
  struct Row {
    std::string name;
    bool owner_disconnects;
  };
  for (const Row& row :
       {Row{"by a message", false}, Row{"by a disconnect", true}}) {
    CAPTURE(row.name);
    SidecarRig rig(Kind::kEngine);
    rig.StartAndWait();
    rig.Control({{"decode_tokens_per_s", 20}});
    auto owner = std::make_unique<RpcClient>(rig.config.rpc);
    std::thread running([&] {
      const Ms timeout = row.owner_disconnects ? Ms{300} : kRigTimeout;
      auto answer = owner->Call(Wrap(ModelDispatch("a")), timeout);
      CHECK(answer.ok() == !row.owner_disconnects);
    });
    WaitFor([&] { return rig.Count("state", "running") == 1; });
    if (row.owner_disconnects) {
      running.join();
      owner.reset();
    } else {
      wire::CancelT cancel;
      cancel.attempt = "a";
      rig.Request(Wrap(std::move(cancel)));
      running.join();
    }
    WaitFor([&] { return rig.Count("state", "cancelled") == 1; });
    WaitFor([&] { return rig.State()["load"]["running"] == 0; });
  }
}

TEST_CASE("a drain completes the queued and running calls") {
  SidecarRig rig(Kind::kService, 1);
  rig.StartAndWait();
  rig.Control({{"delay_before", 200}});
  std::vector<std::thread> calls(3);
  for (size_t i = 0; i < calls.size(); ++i) {
    calls[i] = std::thread([&rig, i] {
      CHECK(OutcomeName(rig.Send(ServiceDispatch(std::to_string(i)))) == "ok");
    });
  }
  // A call counts as queued until a worker takes it: two queued calls alone may
  // be two that arrived before the third.
  WaitFor([&] {
    const auto load = rig.State()["load"];
    return load["running"] == 1 && load["queued"] == 2;
  });
  HttpClient control(rig.config.control);
  CHECK(control.Call({"GET", "/healthz", "", {}, ""})->status == 200);
  CHECK(control.Call({"POST", "/drain", "", {}, ""})->status == 202);
  CHECK(rig.drains == 1);
  RpcClient entry(rig.config.rpc);
  std::thread drain([&] { CHECK(rig.sidecar->Drain().ok()); });
  WaitFor([&] { return rig.State()["draining"] == true; });
  const wire::ResultT refused =
      SidecarRig::SendVia(entry, ServiceDispatch("new"));
  CHECK(OutcomeName(refused) == "leaving not_run");
  CHECK(refused.load->leaving);
  CHECK(control.Call({"GET", "/healthz", "", {}, ""})->status == 503);
  drain.join();
  rig.sidecar.reset();
  for (std::thread& call : calls) call.join();
  CHECK(rig.Count("ran", true) == 3);
  CHECK(rig.directory.Log() ==
        std::vector<std::string>{"serving", "leaving", "removed"});
}

TEST_CASE("the control address serves the state and the metrics") {
  SidecarRig rig(Kind::kEngine);
  rig.StartAndWait();
  rig.Send(ModelDispatch("a"));
  HttpClient control(rig.config.control);
  const auto state =
      Json::parse(control.Call({"GET", "/state", "", {}, ""})->body);
  CHECK(state["upstream"] == "u1");
  CHECK(state["epochs"]["1"] == 5);
  CHECK(state["attempts"]["remembered"] == 1);
  const auto metrics =
      Json::parse(control.Call({"GET", "/metrics", "", {}, ""})->body);
  CHECK(metrics["counters"]["sidecar.dispatches"] == 1);
  CHECK(control.Call({"GET", "/other", "", {}, ""})->status == 404);
}

}  // namespace
}  // namespace knapweed
