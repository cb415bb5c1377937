// A request that crashes upstreams stays known when gateways end.
#include <doctest/doctest.h>

#include "tests/platform/killable_gateway.h"

namespace knapweed::testing {
namespace {

constexpr char kCrashes[] = "crash me";

size_t CrashesOf(const TestCluster& cluster) {
  size_t n = 0;
  for (const auto& server : cluster.plain) {
    for (const ReceivedRequest& request : server->received) {
      if (request.body == kCrashes) ++n;
    }
  }
  return n;
}

class World {
 public:
  World() : cluster(0, 6) {
    for (const char* name : {"a", "b", "c"}) {
      gateways.push_back(std::make_unique<KillableGateway>(cluster, name));
    }
    for (auto& server : cluster.plain) server->crash_on = kCrashes;
    cluster.RunFor(Ms{1500});
  }

  // Returns the status of the request that crashes upstreams.
  int Send(size_t gateway) {
    CallerRequest call = PlainCall("/safe/x", "r" + std::to_string(sent_++));
    call.body = kCrashes;
    // A workspace without a rate, which gateways that restart can't decide.
    call.headers["Key"] = "key2";
    return cluster.Call(call, gateways[gateway]->index()).status;
  }
  // Sends it until it is quarantined.
  void Quarantine(size_t gateway) {
    constexpr int kMostCalls = 6;
    for (int i = 0; i < kMostCalls; ++i) {
      const size_t before = CrashesOf(cluster);
      Send(gateway);
      if (CrashesOf(cluster) == before) return;
      // Until its crashes are confirmed and their servers are back.
      cluster.RunFor(Ms{600});
    }
    FAIL("it was not quarantined");
  }

  TestCluster cluster;
  std::vector<std::unique_ptr<KillableGateway>> gateways;

 private:
  int sent_ = 0;
};

// Guards against crashes that only the process knew that saw them.
TEST_CASE("a request that crashes upstreams is known after restarts") {
  struct Row {
    const char* what;
    // Time from its quarantine at the first gateway to the first kill.
    Ms after;
    // Gateways that are killed one after the other, and start again.
    std::vector<size_t> restarted;
    // Killed first and for good.
    bool loses_first;
    // A probe is allowed after 10 s.
    size_t most_crashes;
  };
  const Row rows[] = {
      {"the gateway that saw the crashes restarts", Ms{1200}, {0}, false, 0},
      {"at once", Ms{0}, {0}, false, 0},
      {"all restart in turn", Ms{1200}, {0, 1, 2}, false, 0},
      // Its row counts as that of a running gateway for 9 s.
      {"it is gone, the others restart in turn", Seconds(10), {1, 2}, true, 1},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    World world;
    world.Quarantine(0);
    if (row.loses_first) {
      world.cluster.RunFor(Ms{1200});
      world.gateways[0]->Kill();
    }
    world.cluster.RunFor(row.after);
    for (const size_t gateway : row.restarted) {
      world.gateways[gateway]->Kill();
      world.gateways[gateway]->Start();
      // A later one reads what the restarted one has announced.
      world.cluster.RunFor(Ms{700});
    }
    const size_t before = CrashesOf(world.cluster);
    for (size_t gateway = row.loses_first ? 1 : 0; gateway < 3; ++gateway) {
      CAPTURE(gateway);
      CHECK((world.Send(gateway) == 503 || row.most_crashes > 0));
    }
    CHECK(CrashesOf(world.cluster) <= before + row.most_crashes);
  }
}

}  // namespace
}  // namespace knapweed::testing
