// The whole path of a call against fakes of the platform: what callers get and
// what servers see.
#include <doctest/doctest.h>

#include "tests/platform/world.h"

namespace knapweed::testing {
namespace {

using Kind = Script::Kind;

void SetAll(std::vector<std::unique_ptr<FakeServer>>& servers, Script script) {
  for (auto& server : servers) server->usual = script;
}

TEST_CASE("refusals at the door") {
  struct Row {
    const char* what;
    const char* path;
    const char* key;
    int status;
  };
  const Row rows[] = {
      {"unknown route", "/nothing/x", "key1", 404},
      {"unknown key", "/safe/x", "nobody", 401},
      {"known key", "/safe/x", "key1", 200},
      {"workspace without a rate", "/safe/x", "key2", 200},
  };
  World world;
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    CallerCall call = PlainCall(row.path);
    call.headers["Key"] = row.key;
    CHECK(world.Call(call).status == row.status);
  }
}

TEST_CASE("what a server sees of a call") {
  World world;
  CallerCall call = PlainCall("/once/a?b=c", "id-1");
  for (const char* name :
       {"Tenant", "Hold", "Pin-Ms", "Kv-From", "Kv-Backup", "Kv-Fetch",
        "Expect-Version", "Request-Priority", "Expect-Instance"}) {
    call.headers[name] = "forged";
  }
  call.headers["X-Other"] = "kept";
  call.headers["Deadline-Ms"] = "1500";
  call.body = std::string("a\0b", 3);
  call.body += "\r\n\r\nGET /once/smuggled HTTP/1.1\r\n\r\n";
  const CallerAnswer answer = world.Call(call);
  CHECK(answer.status == 200);
  CHECK(answer.body == "body");
  REQUIRE(world.SeenByPlain() == 1);
  const FakeServer& server =
      world.plain[0]->seen.empty() ? *world.plain[1] : *world.plain[0];
  const SeenRequest& seen = server.seen[0];
  CHECK(seen.method == "POST");
  CHECK(seen.target == "/once/a?b=c");
  CHECK(seen.body == call.body);
  CHECK(seen.Get("Tenant") == "ws1");
  CHECK(seen.Get("Key").empty());
  CHECK(seen.Get("X-Other") == "kept");
  CHECK(seen.Get("Request-Id") == "id-1");
  CHECK(seen.Get("Expect-Instance") == server.id());
  CHECK(std::stoi(seen.Get("Deadline-Ms")) <= 1500);
  CHECK(std::stoi(seen.Get("Deadline-Ms")) > 1000);
  for (const char* name : {"Hold", "Pin-Ms", "Kv-From", "Kv-Backup", "Kv-Fetch",
                           "Expect-Version"}) {
    CAPTURE(name);
    CHECK(seen.Get(name).empty());
  }
}

TEST_CASE("failures of one server") {
  struct Row {
    const char* what;
    const char* path;
    Kind kind;
    int status;
    // Requests that reach a server in all.
    size_t sent;
  };
  const Row rows[] = {
      {"full, idempotent", "/safe/x", Kind::kFull, 200, 2},
      {"full, once", "/once/x", Kind::kFull, 200, 2},
      {"another instance, once", "/once/x", Kind::kOther, 200, 2},
      {"closed, idempotent", "/safe/x", Kind::kClose, 200, 2},
      {"closed, once", "/once/x", Kind::kClose, 502, 1},
      {"garbage, once", "/once/x", Kind::kGarbage, 502, 1},
      {"garbage, idempotent", "/safe/x", Kind::kGarbage, 200, 2},
      {"reset without a length, once", "/once/x", Kind::kReset, 502, 1},
      {"reset without a length, idempotent", "/safe/x", Kind::kReset, 200, 2},
      {"own error, once", "/once/x", Kind::kError, 500, 1},
      {"own error, idempotent", "/safe/x", Kind::kError, 200, 2},
      {"stray answer first", "/once/x", Kind::kStray, 200, 1},
      {"extra answer behind", "/once/x", Kind::kExtra, 200, 1},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    World world;
    // Whichever server comes first plays the fault.
    bool first = true;
    for (auto& server : world.plain) {
      server->scripts.push_back({row.kind, 0, -1, Ms{0}});
    }
    const auto calls = world.Begin(PlainCall(row.path));
    world.RunUntil([&] {
      if (first && world.SeenByPlain() == 1) {
        first = false;
        for (auto& server : world.plain) server->scripts.clear();
      }
      return calls->done;
    });
    CHECK(calls->status == row.status);
    CHECK(world.SeenByPlain() == row.sent);
    if (row.status == 200) CHECK(calls->body == "body");
    // Bytes that came behind an answer reach nobody.
    CHECK(world.Call(PlainCall("/safe/next", "p2")).body == "body");
  }
}

TEST_CASE("every server full is refused at once, with a time to come back") {
  World world;
  SetAll(world.plain, {Kind::kFull, 0, -1, Ms{0}});
  const CallerAnswer answer = world.Call(PlainCall("/once/x"));
  CHECK(answer.status == 503);
  CHECK(!answer.fields["Retry-After"].empty());
  CHECK(answer.took < Ms{500});
}

TEST_CASE("streams") {
  struct Row {
    const char* what;
    const char* path;
    int break_after;
    bool whole;
    size_t sent;
  };
  const Row rows[] = {
      {"whole", "/turn/x", -1, true, 1},
      {"broken, not resumable", "/turn/x", 2, false, 1},
      {"broken, resumable", "/resume/x", 2, true, 2},
      {"broken before an event, resumable", "/resume/x", 0, true, 2},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    World world;
    for (auto& server : world.engines) {
      server->scripts.push_back({Kind::kEvents, 5, row.break_after, Ms{0}});
      server->usual = {Kind::kEvents, 5, -1, Ms{0}};
    }
    bool first = true;
    CallerCall call = PlainCall(row.path);
    const auto answer = world.Begin(call);
    world.RunUntil([&] {
      if (first && world.SeenByEngines().size() == 1) {
        first = false;
        for (auto& server : world.engines) server->scripts.clear();
      }
      return answer->done;
    });
    CHECK(answer->whole == row.whole);
    CHECK(world.SeenByEngines().size() == row.sent);
    std::string expected;
    for (int i = 1; i <= (row.whole ? 5 : row.break_after); ++i) {
      const std::string n = std::to_string(i);
      expected.append("id: ").append(n).append("\ndata: word");
      expected.append(n).append("\n\n");
    }
    CHECK(answer->body == expected);
  }
}

TEST_CASE("draining servers get no calls, withdrawn keys stop working") {
  World world;
  CHECK(world.Call(PlainCall("/safe/x")).status == 200);
  world.store.Put("servers", world.plain[0]->id(),
                  world.plain[0]->Entry("plain", true));
  world.Configure([](nlohmann::json& config) {
    config["tenants"][1]["api_keys"] = {"key3"};
  });
  world.RunFor(Ms{200});
  const size_t before = world.plain[0]->seen.size();
  for (int i = 0; i < 10; ++i) {
    CHECK(world.Call(PlainCall("/safe/x", "d" + std::to_string(i))).status ==
          200);
  }
  CHECK(world.plain[0]->seen.size() == before);
  CallerCall call = PlainCall("/safe/x");
  call.headers["Key"] = "key2";
  CHECK(world.Call(call).status == 401);
  call.headers["Key"] = "key3";
  CHECK(world.Call(call).status == 200);
}

TEST_CASE("a feed whose history is gone is read anew") {
  World world;
  world.store.faults.history_from = 1000;
  world.Configure([](nlohmann::json& config) {
    config["tenants"][1]["api_keys"] = {"key3"};
  });
  world.RunFor(Ms{1500});
  CallerCall call = PlainCall("/safe/x");
  call.headers["Key"] = "key3";
  CHECK(world.Call(call).status == 200);
}

TEST_CASE("unreadable entries of other writers name no server") {
  World world;
  for (const char* bytes :
       {"", "{", "[]", "{\"service\":\"plain\"}",
        "{\"service\":1,\"address\":\"127.0.0.1:1\",\"zone\":\"a\",\"state\":"
        "\"ready\"}",
        "{\"service\":\"plain\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\","
        "\"state\":\"odd\"}"}) {
    world.store.Put("servers", "bad", bytes);
    world.RunFor(Ms{60});
    CHECK(world.Call(PlainCall("/safe/x")).status == 200);
  }
}

TEST_CASE("requests out of bounds") {
  struct Row {
    const char* what;
    std::string bytes;
    const char* status;
  };
  const std::string head = std::string("POST /once/x HTTP/1.1\r\nHost: ") +
                           kHost + "\r\nKey: key1\r\nRequest-Id: b1\r\n";
  const Row rows[] = {
      {"no request", "hello\r\n\r\n", "400"},
      {"header too large", head + "X: " + std::string(5000, 'x') + "\r\n\r\n",
       "431"},
      {"body too large", head + "Content-Length: 70000\r\n\r\n", "413"},
      {"both lengths",
       head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n", "400"},
      {"two lengths",
       head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbodyx", "400"},
  };
  World world;
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    const std::string answer = world.Raw(row.bytes);
    CHECK(answer.substr(0, 12) == std::string("HTTP/1.1 ") + row.status);
  }
  CHECK(world.SeenByPlain() == 0);
}

TEST_CASE("a caller that leaves ends the work for it") {
  World world;
  SetAll(world.engines, {Kind::kSilent, 0, -1, Ms{0}});
  CallerCall call = PlainCall("/turn/x");
  const std::string text = std::string("POST /turn/x HTTP/1.1\r\nHost: ") +
                           kHost + "\r\nKey: key1\r\nRequest-Id: g1\r\n" +
                           "Content-Length: 0\r\n\r\n";
  // The connection closes after 200 ms without an answer.
  CHECK(world.Raw(text, 0, Ms{200}).empty());
  world.RunFor(Ms{100});
  CHECK(world.SeenByEngines().size() == 1);
}

TEST_CASE("a route's time-out is kept") {
  World world;
  SetAll(world.plain, {Kind::kSilent, 0, -1, Ms{0}});
  world.Configure(
      [](nlohmann::json& config) { config["routes"][3]["timeout_ms"] = 300; });
  world.RunFor(Ms{100});
  const CallerAnswer answer = world.Call(PlainCall("/safe/x"));
  CHECK(answer.status == 504);
  CHECK(answer.took < Ms{700});
}

TEST_CASE("metrics in text, the state in JSON") {
  World world;
  CHECK(world.Call(PlainCall("/safe/x")).status == 200);
  CHECK(world.Get(world.configs[0].metrics, "/metrics")
            .find("knapweed_calls_total{status=\"200\"} 1\n") !=
        std::string::npos);
  const nlohmann::json state = nlohmann::json::parse(
      world.Get(world.configs[0].metrics, "/state"), nullptr, false);
  REQUIRE(state.is_object());
  CHECK(state["ready"] == true);
  CHECK(state["upstreams"].size() == 4);
}

TEST_CASE("an entry out of touch denies nothing") {
  World world;
  CHECK(world.gateways[0]->IsReady());
  world.store.faults.away = true;
  world.RunUntil([&] { return !world.gateways[0]->IsReady(); });
  CHECK_FALSE(world.gateways[0]->IsReady());
  // What it knows it goes on serving.
  CHECK(world.Call(PlainCall("/safe/x")).status == 200);
  // What it does not know may have come meanwhile.
  world.RunFor(Ms{3000});
  CHECK(world.Call(PlainCall("/unknown/x")).status == 503);
}

}  // namespace
}  // namespace knapweed::testing
