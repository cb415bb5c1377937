// End-to-end tests of the operator's evacuation of a failure domain.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "tests/platform/world.h"

namespace knapweed::testing {
namespace {

using Kind = Script::Kind;

// The platform's bound on the time from the operator's row to its effect.
constexpr Ms kInForceWithin{5000};
constexpr char kRow[] = "evacuate/b";

// Lists the server as one of another failure domain than that of the gateways.
void Move(TestCluster& cluster, FakeServer& server, const char* service,
          const char* domain = "b") {
  server.failure_domain = domain;
  cluster.store.Put("servers", server.id(), server.Entry(service));
}

nlohmann::json StateOf(TestCluster& cluster, int gateway) {
  const Address& address =
      cluster.configs[static_cast<size_t>(gateway)].metrics;
  return nlohmann::json::parse(cluster.Get(address, "/state"));
}

// Runs until all gateways state these evacuations, at most for the bound.
bool RunUntilInForce(TestCluster& cluster, const nlohmann::json& domains) {
  const Clock clock = Clock::Steady();
  const Ms until = clock.Now() + kInForceWithin;
  const auto count = static_cast<int>(cluster.gateways.size());
  for (int i = 0; i < count; ++i) {
    while (StateOf(cluster, i)["evacuated"] != domains) {
      if (clock.Now() > until) return false;
      cluster.RunFor(Ms{20});
    }
  }
  return true;
}

// Sends calls to a gateway; returns how many reach the server, 421 excepted.
size_t CountReaching(TestCluster& cluster, FakeServer& server, int gateway = 0,
                     const std::string& path = "/safe/x") {
  const size_t before = server.received.size();
  for (int i = 0; i < 16; ++i) {
    cluster.Call(PlainCall(path, "n" + std::to_string(i)), gateway);
  }
  return server.received.size() - before;
}

TEST_CASE(
    "no call reaches an evacuated failure domain until it is taken back") {
  // The last of the gateways can't connect to the store itself.
  TestCluster cluster(3, 2, 1);
  FakeServer& server = *cluster.plain[1];
  Move(cluster, server, "plain");
  Move(cluster, *cluster.plain[0], "plain", "c");
  cluster.RunFor(Ms{1500});
  for (const int gateway : {0, 1, 2}) {
    CHECK(CountReaching(cluster, server, gateway) > 0);
  }
  // Any value is allowed.
  cluster.store.Put("op", kRow, "not json");
  REQUIRE(RunUntilInForce(cluster, {"b"}));
  for (const int gateway : {0, 1, 2}) {
    CHECK(CountReaching(cluster, server, gateway) == 0);
    CHECK(StateOf(cluster, gateway)["upstreams"][server.id()]["evacuated"] ==
          true);
  }
  // Heartbeats and new incarnations don't end it.
  cluster.store.Put(
      "servers", server.id(),
      server.Entry("plain", false, FakeServer::kStartedAtMs + 9000));
  cluster.RunFor(Ms{1000});
  CHECK(CountReaching(cluster, server) == 0);
  cluster.store.Remove("op", kRow);
  REQUIRE(RunUntilInForce(cluster, nlohmann::json::array()));
  for (const int gateway : {0, 1, 2}) {
    CHECK(CountReaching(cluster, server, gateway) > 0);
  }
}

TEST_CASE("a call without an upstream outside the evacuation is refused") {
  TestCluster cluster(1, 1);
  Move(cluster, *cluster.plain[0], "plain");
  cluster.store.Put("op", kRow, "");
  REQUIRE(RunUntilInForce(cluster, {"b"}));
  const CallerResponse response = cluster.Call(PlainCall("/once/x"));
  CHECK(response.status == 503);
  CHECK(response.elapsed < Ms{300});
  CHECK(cluster.plain[0]->received.empty());
}

TEST_CASE("retries and resumed streams keep out of an evacuated domain") {
  struct Row {
    const char* what;
    const char* path;
    Script first;
  };
  Script cut_off;
  cut_off.kind = Kind::kEvents;
  cut_off.break_after = 2;
  cut_off.pause = Ms{1500};
  Script failed;
  failed.kind = Kind::kError;
  failed.pause = Ms{1500};
  const Row rows[] = {
      {"resumed stream", "/resume/x", cut_off},
      {"retry of a safe call", "/safe/x", failed},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    TestCluster cluster;
    const bool streams = row.first.kind == Kind::kEvents;
    auto& servers = streams ? cluster.engines : cluster.plain;
    const char* service = streams ? "engines" : "plain";
    // Only one can take the first attempt, the other one is then evacuated.
    cluster.store.Put("servers", servers[1]->id(),
                      servers[1]->Entry(service, true));
    cluster.RunFor(Ms{300});
    servers[0]->scripts.push_back(row.first);
    const auto response = cluster.StartCall(PlainCall(row.path));
    cluster.RunUntil([&] { return !servers[0]->received.empty(); });
    Move(cluster, *servers[1], service);
    cluster.store.Put("op", kRow, "");
    REQUIRE(RunUntilInForce(cluster, {"b"}));
    cluster.RunUntil([&] { return response->done; });
    CHECK(servers[0]->received.size() == 1);
    CHECK(servers[1]->received.empty());
  }
}

TEST_CASE("a call that waits for a grant doesn't go to an evacuated upstream") {
  TestCluster cluster(1, 1);
  FakeServer& server = *cluster.plain[0];
  Move(cluster, server, "plain");
  server.limit_per_s = "1";
  cluster.RunFor(Ms{300});
  // The first states the limit, the second uses it up.
  cluster.Call(PlainCall("/safe/x", "first"));
  cluster.Call(PlainCall("/safe/x", "second"));
  const auto waiting = cluster.StartCall(PlainCall("/safe/x", "third"));
  cluster.RunFor(Ms{100});
  CHECK_FALSE(waiting->done);
  const size_t before = server.received.size();
  cluster.store.Put("op", kRow, "");
  REQUIRE(RunUntilInForce(cluster, {"b"}));
  cluster.RunUntil([&] { return waiting->done; });
  CHECK(waiting->status == 503);
  CHECK(server.received.size() == before);
}

TEST_CASE("a call in progress runs on when its failure domain is evacuated") {
  TestCluster cluster(1, 1);
  FakeServer& server = *cluster.plain[0];
  Move(cluster, server, "plain");
  cluster.RunFor(Ms{300});
  Script slow;
  slow.pause = Ms{1000};
  server.scripts.push_back(slow);
  const auto response = cluster.StartCall(PlainCall("/once/x"));
  cluster.RunUntil([&] { return !server.received.empty(); });
  cluster.store.Put("op", kRow, "");
  REQUIRE(RunUntilInForce(cluster, {"b"}));
  CHECK_FALSE(response->done);
  cluster.RunUntil([&] { return response->done; });
  CHECK(response->status == 200);
}

TEST_CASE("evacuations survive a gap in the feed") {
  TestCluster cluster(1, 1);
  cluster.store.Put("op", kRow, "");
  cluster.store.Put("op", "evacuate/c", "");
  REQUIRE(RunUntilInForce(cluster, {"b", "c"}));
  // The store forgets the changes that the gateway has not read: "b" was taken
  // back and "d" added.
  cluster.store.faults.unavailable = true;
  cluster.RunFor(Ms{1000});
  CHECK(StateOf(cluster, 0)["evacuated"] == nlohmann::json({"b", "c"}));
  cluster.store.Remove("op", kRow);
  cluster.store.Put("op", "evacuate/d", "");
  cluster.store.faults.oldest_feed_version = 1000;
  cluster.store.faults.unavailable = false;
  REQUIRE(RunUntilInForce(cluster, {"c", "d"}));
  // With 410 to each feed request the table is read as a whole.
  cluster.store.Remove("op", "evacuate/c");
  REQUIRE(RunUntilInForce(cluster, {"d"}));
}

TEST_CASE("a gateway that starts during an evacuation knows it at once") {
  for (const bool from_peer : {false, true}) {
    CAPTURE(from_peer);
    TestCluster cluster(1);
    FakeServer& server = *cluster.plain[1];
    Move(cluster, server, "plain");
    Move(cluster, *cluster.plain[0], "plain", "c");
    cluster.store.Put("op", kRow, "");
    REQUIRE(RunUntilInForce(cluster, {"b"}));
    cluster.store.faults.unavailable = from_peer;
    const int gateway = cluster.AddGateway("late");
    CallerResponse response;
    REQUIRE(cluster.RunUntil([&] {
      response = cluster.Call(PlainCall("/safe/x"), gateway);
      return response.status == 200;
    }));
    CHECK(CountReaching(cluster, server, gateway) == 0);
    CHECK(server.received.empty());
    // The operator's rows of the store replace those of the peer.
    cluster.store.Remove("op", kRow);
    cluster.store.faults.unavailable = false;
    REQUIRE(RunUntilInForce(cluster, nlohmann::json::array()));
    CHECK(CountReaching(cluster, server, gateway) > 0);
  }
}

TEST_CASE("the key of an operator's row tells the failure domain") {
  struct Row {
    const char* key;
    std::optional<std::string> domain;
  };
  const Row rows[] = {
      {"evacuate/b", "b"},         {"evacuate/eu/west-1", "eu/west-1"},
      {"evacuate/", std::nullopt}, {"evacuate", std::nullopt},
      {"config", std::nullopt},    {"old/evacuate/b", std::nullopt},
  };
  for (const Row& row : rows) {
    const std::string key = row.key;
    CAPTURE(key);
    CHECK(users_platform::DecodeEvacuation(row.key) == row.domain);
  }
}

}  // namespace
}  // namespace knapweed::testing
