// End-to-end tests of streams that callers take up again after their gateway
// ended, while upstreams of two versions serve.
#include <doctest/doctest.h>

#include <set>

#include "tests/platform/killable_gateway.h"

namespace knapweed::testing {
namespace {

using Kind = Script::Kind;

constexpr int kStreams = 12;
constexpr int kEvents = 5;
constexpr int kBreakAfter = 2;

void SetAll(TestCluster& cluster, int break_after) {
  for (auto& engine : cluster.engines) {
    engine->default_script = {Kind::kEvents, kEvents, break_after, Ms{0}};
  }
}

// A call of a workspace without a rate: many callers resume at once.
CallerRequest StreamCall(const std::string& id) {
  CallerRequest call = PlainCall("/resume/x", id);
  call.headers["Key"] = "key2";
  return call;
}

std::string VersionOf(TestCluster& cluster, const std::string& request_id) {
  for (auto& engine : cluster.engines) {
    for (const ReceivedRequest& request : engine->received) {
      if (request.Get("Request-Id") == request_id) return engine->version;
    }
  }
  return "";
}

void PrepareEngines(TestCluster& cluster) {
  for (size_t i = 0; i < cluster.engines.size(); ++i) {
    FakeServer& engine = *cluster.engines[i];
    engine.version = i % 2 == 0 ? "v1" : "v2";
    cluster.store.Put("servers", engine.id(), engine.Entry("engines"));
  }
  // One attempt, so that the callers have to resume.
  cluster.Configure([](nlohmann::json& config) {
    for (auto& route : config["routes"]) route["max_attempts"] = 1;
  });
}

// Begins streams at a gateway, all of which break off.
void BeginStreams(TestCluster& cluster, int gateway) {
  SetAll(cluster, kBreakAfter);
  std::vector<std::shared_ptr<CallerResponse>> begun;
  begun.reserve(kStreams);
  for (int i = 0; i < kStreams; ++i) {
    const std::string id = "begun-" + std::to_string(i);
    begun.push_back(cluster.StartCall(StreamCall(id), gateway));
  }
  std::set<std::string> versions;
  for (const auto& response : begun) {
    cluster.RunUntil([&] { return response->done; });
    CHECK(response->status == 200);
    CHECK_FALSE(response->complete);
  }
  for (int i = 0; i < kStreams; ++i) {
    versions.insert(VersionOf(cluster, "begun-" + std::to_string(i)));
  }
  CHECK(versions.size() == 2);
  SetAll(cluster, -1);
}

// Returns how many of the streams go on at the version that began them.
int CountGoingOn(TestCluster& cluster, const std::vector<int>& gateways) {
  int n = 0;
  for (int i = 0; i < kStreams; ++i) {
    const std::string begun = "begun-" + std::to_string(i);
    const std::string id = "resumed-" + std::to_string(i);
    CallerRequest call = StreamCall(id);
    call.headers["Last-Event-Id"] = std::to_string(kBreakAfter);
    call.headers["Resumes"] = begun;
    const int gateway = gateways[static_cast<size_t>(i) % gateways.size()];
    const CallerResponse response = cluster.Call(call, gateway);
    const bool goes_on = response.status == 200 && response.complete;
    if (!goes_on) continue;
    CHECK(VersionOf(cluster, id) == VersionOf(cluster, begun));
    ++n;
  }
  return n;
}

// Guards against streams whose origin is known only where they began.
TEST_CASE("streams go on after the gateway that began them ended") {
  struct Row {
    const char* what;
    // Between the end of the streams and that of the gateways.
    Ms wait;
    std::vector<size_t> killed;
    bool starts_again;
    std::vector<int> resumed_at;
  };
  const Row rows[] = {
      {"killed at once", Ms{0}, {0}, false, {1, 2}},
      {"killed at once, started again", Ms{0}, {0}, true, {0}},
      {"killed later", Ms{150}, {0}, false, {1, 2}},
      {"killed later, started again", Ms{150}, {0}, true, {0, 1, 2}},
      {"two of three killed", Ms{150}, {0, 1}, false, {2}},
      {"all killed and started", Ms{150}, {0, 1, 2}, true, {0, 1, 2}},
      {"all killed 12 s later", Ms{12000}, {0, 1, 2}, true, {0, 1, 2}},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    TestCluster cluster(0, 4);
    PrepareEngines(cluster);
    constexpr int kGateways = 3;
    std::vector<std::unique_ptr<KillableGateway>> gateways;
    gateways.reserve(kGateways);
    for (int i = 0; i < kGateways; ++i) {
      gateways.push_back(std::make_unique<KillableGateway>(
          cluster, "gateway-" + std::to_string(i)));
    }
    // Until the gateways have read of each other.
    cluster.RunFor(Ms{1500});
    BeginStreams(cluster, 0);
    if (row.wait > Ms{0}) {
      cluster.RunFor(row.wait);
      // Its origin is written over the records of the others.
      cluster.Call(StreamCall("later"));
      cluster.RunFor(Ms{150});
    }
    for (const size_t i : row.killed) gateways[i]->Kill();
    if (row.starts_again) {
      for (const size_t i : row.killed) gateways[i]->Start();
    }
    CHECK(CountGoingOn(cluster, row.resumed_at) == kStreams);
  }
}

}  // namespace
}  // namespace knapweed::testing
