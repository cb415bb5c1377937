#include <doctest/doctest.h>

#include <string>
#include <thread>
#include <vector>

#include "knapweed/http/client.h"
#include "knapweed/sidecar/pin_table.h"
#include "knapweed/sidecar/program_hash.h"
#include "tests/sidecar_rig.h"

namespace knapweed {
namespace {

using Kind = SidecarRig::Kind;
using Json = nlohmann::json;

std::vector<std::string> HoldsAt(const Address& engine) {
  const auto reply = HttpClient(engine).Call({"GET", "/stats", "", {}, ""});
  if (!reply.ok()) return {};
  std::vector<std::string> holds;
  const Json stats = Json::parse(reply->body);
  for (const Json& hold : stats["holds"]) {
    holds.push_back(hold["hold"]);
  }
  return holds;
}

// The prompt is long enough to fill blocks of the cache.
wire::DispatchT Pinned(Ms lease) {
  wire::DispatchT dispatch = ModelDispatch("pinned", std::string(400, 'x'));
  dispatch.pin_ms = lease.count;
  return dispatch;
}

wire::BodyUnion Renewal(Ms lease) {
  wire::PinRenewalT renewal;
  renewal.owner = "e1";
  auto pin = std::make_unique<wire::PinT>();
  pin->program_hash = ProgramHash("w", "p");
  pin->lease_ms = lease.count;
  renewal.pins.push_back(std::move(pin));
  return Wrap(std::move(renewal));
}

TEST_CASE("an engine holds a program's cache until its lease expires") {
  const std::vector<std::string> held = {HoldName(ProgramHash("w", "p"))};
  SidecarRig rig(Kind::kEngine);
  rig.StartAndWait();
  const auto holds = [&] { return HoldsAt(rig.config.upstream); };
  SUBCASE("expired without a renewal") {
    rig.Send(Pinned(Ms{500}));
    WaitFor([&] { return holds() == held; });
    WaitFor([&] { return holds().empty(); });
  }
  SUBCASE("renewed, then released") {
    rig.Send(Pinned(Ms{500}));
    WaitFor([&] { return holds() == held; });
    rig.Request(Renewal(Seconds(60)));
    SleepFor(Ms{900});
    CHECK(holds() == held);
    wire::PinRenewalT renewal;
    renewal.released = {ProgramHash("w", "p")};
    rig.Request(Wrap(std::move(renewal)));
    WaitFor([&] { return holds().empty(); });
  }
  SUBCASE("released by a drain") {
    rig.Send(Pinned(Seconds(60)));
    WaitFor([&] { return holds() == held; });
    CHECK(rig.sidecar->Drain().ok());
    CHECK(holds().empty());
  }
  SUBCASE("left by an earlier run of the sidecar and not renewed") {
    rig.Send(Pinned(Seconds(60)));
    WaitFor([&] { return holds() == held; });
    rig.StopSidecar();
    CHECK(holds() == held);
    rig.config.found_pin_lease = Ms{400};
    rig.StartAndWait();
    WaitFor([&] { return holds().empty(); });
  }
  SUBCASE("left by an earlier run of the sidecar and renewed") {
    rig.Send(Pinned(Seconds(60)));
    WaitFor([&] { return holds() == held; });
    rig.StopSidecar();
    rig.config.found_pin_lease = Ms{800};
    rig.StartAndWait();
    WaitFor([&] { return rig.State()["engine"]["pins"].size() == 1; });
    rig.Request(Renewal(Seconds(60)));
    SleepFor(Ms{1200});
    CHECK(holds() == held);
  }
}

TEST_CASE("a request that crashes its engine is reported and quarantined") {
  SidecarRig rig(Kind::kEngine);
  rig.StartAndWait();
  const std::string text = "CRASH-ENGINE";
  const wire::ResultT crashed = rig.Send(ModelDispatch("a", text));
  CHECK(OutcomeName(crashed) == "upstream_failed unknown");
  CHECK(crashed.crashed);
  const std::string digest = std::to_string(HashBytes(text));
  CHECK(rig.State()["quarantine"][digest] == "suspect");
  WaitFor([&] { return rig.State()["upstream_up"] == true; });
  CHECK(OutcomeName(rig.Send(ModelDispatch("b"))) == "ok");
  wire::CrashReportT report;
  report.digest = HashBytes(text);
  report.upstream = "u2";
  report.crashes = 2;
  rig.Request(Wrap(report));
  CHECK(OutcomeName(rig.Send(ModelDispatch("c", text))) ==
        "quarantined not_run");
  CHECK(rig.Count("state", "crashed") == 1);
}

TEST_CASE("a request is quarantined after reported crashes of two upstreams") {
  struct Row {
    std::string name;
    std::vector<uint32_t> crashes;
    std::string verdict;
  };
  const std::vector<Row> rows = {
      {"one crash", {1}, "ok"},
      {"the same crash again", {1, 1}, "ok"},
      {"two crashes", {2}, "quarantined not_run"},
      {"many crashes", {1, 7}, "quarantined not_run"},
  };
  SidecarRig rig(Kind::kEngine);
  rig.StartAndWait();
  for (const Row& row : rows) {
    CAPTURE(row.name);
    for (const uint32_t crashes : row.crashes) {
      wire::CrashReportT report;
      report.digest = HashBytes(row.name);
      report.upstream = "u2";
      report.crashes = crashes;
      rig.Request(Wrap(report));
    }
    CHECK(OutcomeName(rig.Send(ModelDispatch(row.name, row.name))) ==
          row.verdict);
  }
}

TEST_CASE("a suspect request runs exclusively") {
  SidecarRig rig(Kind::kEngine, 4);
  rig.StartAndWait();
  rig.Control({{"decode_tokens_per_s", 100}});
  wire::CrashReportT report;
  report.digest = HashBytes("suspect");
  report.upstream = "u2";
  report.crashes = 1;
  rig.Request(Wrap(report));
  std::atomic<bool> suspect_done{false};
  std::vector<std::thread> calls;
  calls.reserve(9);
  for (int i = 0; i < 9; ++i) {
    calls.emplace_back([&, i] {
      const bool suspect = i == 4;
      const std::string text = suspect ? "suspect" : std::to_string(i);
      CHECK(OutcomeName(rig.Send(ModelDispatch(std::to_string(i), text))) ==
            "ok");
      if (suspect) suspect_done = true;
    });
  }
  bool exclusive = true;
  bool seen = false;
  while (!suspect_done) {
    const Json calls_now = rig.State()["calls"];
    bool suspect_runs = false;
    int running = 0;
    for (const Json& call : calls_now) {
      if (!call["running"].get<bool>()) continue;
      ++running;
      suspect_runs = suspect_runs || call["attempt"] == "4";
    }
    seen = seen || suspect_runs;
    exclusive = exclusive && (!suspect_runs || running == 1);
    SleepFor(Ms{2});
  }
  for (std::thread& call : calls) call.join();
  CHECK(seen);
  CHECK(exclusive);
}

TEST_CASE("a suspect that waits to run exclusively is still fenced") {
  SidecarRig rig(Kind::kEngine);
  rig.StartAndWait();
  rig.Control({{"decode_tokens_per_s", 20}});
  wire::CrashReportT report;
  report.digest = HashBytes("suspect");
  report.upstream = "u2";
  report.crashes = 1;
  rig.Request(Wrap(report));
  std::thread running(
      [&] { CHECK(OutcomeName(rig.Send(ModelDispatch("runs"))) == "ok"); });
  WaitFor([&] { return rig.Count("state", "running") == 1; });
  std::thread suspect([&] {
    const wire::ResultT result = rig.Send(ModelDispatch("waits", "suspect"));
    CHECK(OutcomeName(result) == "fenced not_run");
  });
  WaitFor([&] { return rig.State()["load"]["queued"] == 1; });
  CHECK(rig.QueryState("other", 6) == 0);
  running.join();
  suspect.join();
  CHECK(rig.Record().size() == 1);
}

TEST_CASE("calls fail at once as not run while the engine is down") {
  SidecarRig rig(Kind::kEngine, 1);
  rig.StartAndWait();
  CHECK(OutcomeName(rig.Send(ModelDispatch("a"))) == "ok");
  rig.StopUpstream();
  CHECK(OutcomeName(rig.Send(ModelDispatch("b"))) == "upstream_failed not_run");
  WaitFor([&] { return rig.State()["upstream_up"] == false; });
  CHECK(OutcomeName(rig.Send(ModelDispatch("c"))) == "upstream_failed not_run");
  rig.StartUpstream();
  WaitFor([&] { return rig.State()["upstream_up"] == true; });
  CHECK(OutcomeName(rig.Send(ModelDispatch("d"))) == "ok");
  CHECK(rig.State()["crashes"].empty());
}

}  // namespace
}  // namespace knapweed
