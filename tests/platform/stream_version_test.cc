// End-to-end tests of streams that go on while upstreams of several software
// versions serve.
#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "tests/platform/world.h"

namespace knapweed::testing {
namespace {

using Kind = Script::Kind;

constexpr int kEvents = 5;
constexpr int kBreakAfter = 2;

// Gives the engines these versions, in order.
void SetVersions(TestCluster& cluster,
                 const std::vector<std::string>& versions) {
  for (size_t i = 0; i < versions.size(); ++i) {
    FakeServer& engine = *cluster.engines[i];
    engine.version = versions[i];
    cluster.store.Put("servers", engine.id(), engine.Entry("engines"));
  }
  cluster.RunFor(Ms{300});
}

void SetAll(TestCluster& cluster, const Script& script) {
  for (auto& engine : cluster.engines) engine->default_script = script;
}

// Makes all engines break off each stream after its second event.
void BreakStreams(TestCluster& cluster) {
  SetAll(cluster, {Kind::kEvents, kEvents, kBreakAfter, Ms{0}});
}

// Returns the engine that got this request as its last one.
FakeServer* EngineThatGot(TestCluster& cluster, const std::string& request_id) {
  FakeServer* found = nullptr;
  for (auto& engine : cluster.engines) {
    for (const ReceivedRequest& request : engine->received) {
      if (request.Get("Request-Id") == request_id) found = engine.get();
    }
  }
  return found;
}

CallerRequest ResumeOf(const std::string& begun_by, const std::string& id) {
  CallerRequest call = PlainCall("/resume/x", id);
  call.headers["Last-Event-Id"] = std::to_string(kBreakAfter);
  if (!begun_by.empty()) call.headers["Resumes"] = begun_by;
  return call;
}

// Begins a stream that breaks off and returns its engine's version.
std::string BeginStream(TestCluster& cluster, const std::string& id,
                        int gateway) {
  BreakStreams(cluster);
  // One attempt, so that the caller has to resume.
  const CallerResponse response =
      cluster.Call(PlainCall("/resume/x", id), gateway);
  CHECK_FALSE(response.complete);
  CHECK(response.body.find("word2") != std::string::npos);
  const FakeServer* engine = EngineThatGot(cluster, id);
  REQUIRE(engine != nullptr);
  SetAll(cluster, {Kind::kEvents, kEvents, -1, Ms{0}});
  return engine->version;
}

void AllowAttempts(TestCluster& cluster, int attempts) {
  cluster.Configure([&](nlohmann::json& config) {
    for (auto& route : config["routes"]) route["max_attempts"] = attempts;
  });
  cluster.RunFor(Ms{300});
}

TEST_CASE("an answer goes on at the version that began it, or breaks off") {
  struct Row {
    const char* what;
    std::vector<std::string> versions;
    bool completes;
  };
  const Row rows[] = {
      {"one version", {"v1", "v1"}, true},
      {"no other of its version", {"v1", "v2"}, false},
      {"another of its version", {"v1", "v1", "v2", "v2"}, true},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    TestCluster cluster(1, static_cast<int>(row.versions.size()));
    SetVersions(cluster, row.versions);
    int completed = 0;
    for (int i = 0; i < 10; ++i) {
      const std::string id = "r" + std::to_string(i);
      // The first engine to get it breaks off; the next one does not.
      SetAll(cluster, {Kind::kEvents, kEvents, -1, Ms{0}});
      for (auto& engine : cluster.engines) {
        engine->scripts.assign({{Kind::kEvents, kEvents, kBreakAfter, Ms{0}}});
      }
      const auto response = cluster.StartCall(PlainCall("/resume/x", id));
      // Streams that go on find an engine whose script is complete.
      cluster.RunUntil([&] { return EngineThatGot(cluster, id) != nullptr; });
      for (auto& engine : cluster.engines) engine->scripts.clear();
      cluster.RunUntil([&] { return response->done; });
      if (response->complete) ++completed;
      std::set<std::string> versions;
      for (auto& engine : cluster.engines) {
        for (const ReceivedRequest& request : engine->received) {
          if (request.Get("Request-Id") == id) versions.insert(engine->version);
        }
      }
      CHECK(versions.size() == 1);
    }
    CHECK(completed == (row.completes ? 10 : 0));
  }
}

TEST_CASE("a caller's stream goes on at its version by any gateway") {
  TestCluster cluster(3, 4);
  SetVersions(cluster, {"v1", "v1", "v2", "v2"});
  AllowAttempts(cluster, 1);
  // Until the gateways have read of each other.
  cluster.RunFor(Ms{1500});
  const int late = cluster.AddGateway("late");
  cluster.RunUntil([&] { return cluster.gateways.back()->IsReady(); });
  std::set<std::string> versions;
  for (int i = 0; i < 24; ++i) {
    CAPTURE(i);
    const std::string begun = "begun-" + std::to_string(i);
    const std::string resumed = "resumed-" + std::to_string(i);
    const std::string version = BeginStream(cluster, begun, i % 3);
    versions.insert(version);
    const int gateway = i % 4 == 3 ? late : (i + 1) % 3;
    const CallerResponse response =
        cluster.Call(ResumeOf(begun, resumed), gateway);
    CHECK(response.complete);
    CHECK(response.body.find("word3") != std::string::npos);
    const FakeServer* engine = EngineThatGot(cluster, resumed);
    REQUIRE(engine != nullptr);
    CHECK(engine->version == version);
  }
  CHECK(versions.size() == 2);
}

TEST_CASE("a stream of unknown origin goes on only where one version began") {
  struct Row {
    const char* what;
    // Versions of the engines while streams begin, and when one is resumed.
    std::vector<std::string> before;
    std::vector<std::string> after;
    // Number of streams that begin before.
    int begun;
    const char* begun_by;
    bool goes_on;
  };
  const Row rows[] = {
      {"one version, unknown request",
       {"v1", "v1"},
       {"v1", "v1"},
       1,
       "nobody",
       true},
      {"one version, no request named",
       {"v1", "v1"},
       {"v1", "v1"},
       1,
       "",
       true},
      // The only place that is recorded, so it can have begun nowhere else.
      {"no stream has begun", {"v1", "v1"}, {"v1", "v1"}, 0, "", true},
      {"no stream has begun, two versions",
       {"v1", "v2"},
       {"v1", "v2"},
       0,
       "",
       false},
      {"two versions, unknown request",
       {"v1", "v2"},
       {"v1", "v2"},
       8,
       "nobody",
       false},
      {"two versions, no request named",
       {"v1", "v2"},
       {"v1", "v2"},
       8,
       "",
       false},
      // The gateway starts when only the other version is listed.
      {"another version, no request named",
       {"v1", "v1"},
       {"v2", "v2"},
       1,
       "",
       false},
      {"another version, unknown request",
       {"v1", "v1"},
       {"v2", "v2"},
       1,
       "nobody",
       false},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    TestCluster cluster(1, 2);
    SetVersions(cluster, row.before);
    AllowAttempts(cluster, 1);
    for (int i = 0; i < row.begun; ++i) {
      BeginStream(cluster, "begun-" + std::to_string(i), 0);
    }
    SetVersions(cluster, row.after);
    // The engines that broke off a stream may have started again.
    cluster.RunFor(Ms{3100});
    const int started = cluster.AddGateway("started");
    cluster.RunUntil([&] { return cluster.gateways.back()->IsReady(); });
    const CallerResponse response =
        cluster.Call(ResumeOf(row.begun_by, "resumed"), started);
    CHECK(response.complete);
    CHECK(response.status == (row.goes_on ? 200 : 503));
    CHECK((EngineThatGot(cluster, "resumed") != nullptr) == row.goes_on);
    CHECK(response.elapsed < Ms{500});
  }
}

// Guards against streams that begin at a version that no record names, as one
// that is listed just before the store goes away.
TEST_CASE("a stream begins only at a version that is recorded") {
  TestCluster cluster(1, 4);
  SetVersions(cluster, {"v1", "v1", "v1", "v1"});
  AllowAttempts(cluster, 1);
  BeginStream(cluster, "before", 0);
  cluster.store.faults.unavailable_parts = 1;
  SetVersions(cluster, {"v1", "v1", "v2", "v2"});
  for (int i = 0; i < 8; ++i) {
    CHECK(BeginStream(cluster, "begun-" + std::to_string(i), 0) == "v1");
  }
  SetVersions(cluster, {"v2", "v2", "v2", "v2"});
  const CallerResponse refused =
      cluster.Call(PlainCall("/resume/x", "refused"), 0);
  CHECK(refused.status == 503);
  CHECK(refused.fields.count("Retry-After") == 1);
  CHECK(EngineThatGot(cluster, "refused") == nullptr);
  CHECK(refused.elapsed < Ms{1500});
  cluster.store.faults.unavailable_parts = 0;
  cluster.RunFor(Ms{500});
  CHECK(BeginStream(cluster, "later", 0) == "v2");
}

// Guards against a gateway that starts while the store is away and serves no
// streams: its peers' records name where they may begin.
TEST_CASE("a gateway that starts without the store begins recorded streams") {
  TestCluster cluster(1, 2);
  SetVersions(cluster, {"v1", "v1"});
  AllowAttempts(cluster, 1);
  cluster.RunFor(Ms{300});
  cluster.store.faults.unavailable = true;
  cluster.RunFor(Ms{600});
  const int started = cluster.AddGateway("started");
  CallerResponse response;
  cluster.RunUntil([&] {
    response = cluster.Call(PlainCall("/resume/x", "begun"), started);
    return response.status == 200;
  });
  CHECK(response.status == 200);
}

// An upstream that starts again under its id may have another version than its
// row still tells.
TEST_CASE("a stream does not go on at an upstream that may have restarted") {
  TestCluster cluster(1, 1);
  SetVersions(cluster, {"v1"});
  AllowAttempts(cluster, 1);
  BeginStream(cluster, "begun", 0);
  FakeServer& engine = *cluster.engines[0];
  engine.crash_on = "crash";
  CallerRequest crash = PlainCall("/resume/x", "crashes");
  crash.body = "crash";
  cluster.Call(crash, 0);
  // Finds nobody listening.
  CHECK(cluster.Call(PlainCall("/resume/x", "unserved"), 0).status == 503);
  cluster.RunFor(engine.restart_delay);
  CHECK(cluster.Call(ResumeOf("begun", "early"), 0).status == 503);
  CHECK(EngineThatGot(cluster, "early") == nullptr);
  // Its row would tell by now.
  cluster.RunFor(Ms{3000});
  CHECK(cluster.Call(ResumeOf("begun", "later"), 0).status == 200);
}

TEST_CASE("a stream whose version has left is refused at once") {
  TestCluster cluster(2, 2);
  SetVersions(cluster, {"v1", "v2"});
  AllowAttempts(cluster, 1);
  const std::string version = BeginStream(cluster, "begun", 0);
  for (auto& engine : cluster.engines) {
    if (engine->version == version) {
      cluster.store.Remove("servers", engine->id());
    }
  }
  cluster.RunFor(Ms{300});
  for (const int gateway : {0, 1}) {
    const std::string id = "resumed-" + std::to_string(gateway);
    const CallerResponse response =
        cluster.Call(ResumeOf("begun", id), gateway);
    CHECK(response.status == 503);
    CHECK(response.elapsed < Ms{500});
    CHECK(EngineThatGot(cluster, id) == nullptr);
  }
}

// Guards against a resumed stream that passes for a new one, and so goes on at
// any version, because its position can't be read.
TEST_CASE("a stream with a position that can't be read does not begin") {
  TestCluster cluster(1, 2);
  for (const std::string position :
       {"x", "-1", "1.5", "0x1", "18446744073709551616", "1 2"}) {
    CAPTURE(position);
    CallerRequest call = PlainCall("/resume/x", "at-" + position);
    call.headers["Request-Id"] = "position";
    call.headers["Last-Event-Id"] = position;
    const CallerResponse response = cluster.Call(call);
    CHECK(response.status == 400);
    CHECK(response.body.find("malformed position") != std::string::npos);
  }
  CHECK(cluster.EngineRequests().empty());
}

}  // namespace
}  // namespace knapweed::testing
