// End-to-end tests of gateways that send to upstreams which are cold: they
// crash above the bound of their service, for all gateways together.
#include <doctest/doctest.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "knapweed/gateway/peers.h"
#include "tests/platform/world.h"

namespace knapweed::testing {
namespace {

constexpr double kColdPerS = 4;
constexpr int kColdStartS = 20;
// The platform's bound on the requests in any one second.
constexpr double kMostInASecond = 1.5 * kColdPerS + 5;
// A gateway that has just started grants little for this time.
constexpr Ms kStartTime{4000};

void ConfigureCold(TestCluster& cluster, double per_s = kColdPerS) {
  cluster.Configure([per_s](nlohmann::json& config) {
    config["services"][1]["cold_per_s"] = per_s;
    config["services"][1]["cold_start_s"] = kColdStartS;
  });
  cluster.RunFor(Ms{200});
}

// Writes the entry of a plain upstream, as its heartbeat does.
void WriteEntry(TestCluster& cluster, const FakeServer& server,
                uint64_t started_at_ms = FakeServer::kStartedAtMs) {
  cluster.store.Put("servers", server.id(),
                    server.Entry("plain", false, started_at_ms));
}

void MakeCold(TestCluster& cluster, FakeServer& server, Ms remaining) {
  server.cold_remaining = remaining;
  WriteEntry(cluster, server);
  cluster.RunFor(Ms{200});
}

nlohmann::json StateOf(TestCluster& cluster, const FakeServer& server) {
  const std::string text = cluster.Get(cluster.configs[0].metrics, "/state");
  return nlohmann::json::parse(text)["upstreams"][server.id()];
}

// Returns the most requests that the server received in a second from `from`.
int MostInASecond(const FakeServer& server, Ms from) {
  int most = 0;
  for (const ReceivedRequest& first : server.received) {
    if (first.at < from) continue;
    const auto n = std::count_if(server.received.begin(), server.received.end(),
                                 [&](const ReceivedRequest& request) {
                                   return request.at >= first.at &&
                                          request.at - first.at < Seconds(1);
                                 });
    most = std::max(most, static_cast<int>(n));
  }
  return most;
}

// Returns the gateway that grants requests to the server.
int HomeOf(const TestCluster& cluster, const FakeServer& server) {
  const Clock clock = Clock::Steady();
  gateway::Peers peers(clock, cluster.configs[0].peers);
  std::vector<Address> others;
  for (const auto& config : cluster.configs) others.push_back(config.peers);
  others.erase(others.begin());
  peers.SetOthers(others);
  const Address home = peers.HomeOf(server.id()).address;
  int n = 0;
  while (cluster.configs[static_cast<size_t>(n)].peers != home) ++n;
  return n;
}

using Responses = std::vector<std::shared_ptr<CallerResponse>>;

// Starts one call each `interval` for `span`, at the gateways in turn but
// `except`; returns their responses when all have ended.
Responses RunLoad(TestCluster& cluster, Ms interval, Ms span, int except = -1) {
  const Clock clock = Clock::Steady();
  const Ms until = clock.Now() + span;
  const auto gateways = static_cast<int>(cluster.gateways.size());
  Responses responses;
  for (int n = 0; clock.Now() < until; ++n) {
    if (n % gateways == except) continue;
    CallerRequest call = PlainCall("/safe/x", "l" + std::to_string(n));
    // Of a workspace without a rate.
    call.headers["Key"] = "key2";
    responses.push_back(cluster.StartCall(call, n % gateways));
    cluster.RunFor(interval);
  }
  cluster.RunUntil([&] {
    return std::all_of(responses.begin(), responses.end(),
                       [](const auto& response) { return response->done; });
  });
  return responses;
}

TEST_CASE("gateways together keep to the bound of a cold upstream") {
  struct Row {
    const char* what;
    bool store_is_away;
    // The home stops as planned meanwhile.
    bool home_stops;
  };
  const Row rows[] = {
      {"calm", false, false},
      {"store away", true, false},
      {"home stops", false, true},
      {"store away, home stops", true, true},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    TestCluster cluster(3);
    ConfigureCold(cluster);
    cluster.RunFor(kStartTime);
    FakeServer& cold = *cluster.plain[0];
    MakeCold(cluster, cold, Seconds(kColdStartS));
    cluster.store.faults.unavailable = row.store_is_away;
    const int home = HomeOf(cluster, cold);
    bool stopped = !row.home_stops;
    const auto shut_down = [&]() -> gateway::Task<void> {
      co_await cluster.gateways[static_cast<size_t>(home)]->Shutdown();
      stopped = true;
    };
    const Ms from = Clock::Steady().Now();
    if (row.home_stops) gateway::Spawn(cluster.loop, shut_down());
    const Responses responses =
        RunLoad(cluster, Ms{12}, Seconds(4), row.home_stops ? home : -1);
    CHECK(MostInASecond(cold, from) <= kMostInASecond);
    // The bound is used, and the other upstream takes the rest at once.
    const auto reached = static_cast<int>(cold.received.size());
    CHECK(reached >= (row.home_stops ? 4 : 10));
    for (const auto& response : responses) {
      CHECK(response->status == 200);
      CHECK(response->elapsed < Ms{500});
    }
    cluster.RunUntil([&] { return stopped; });
  }
}

// Guards against several gateways that each take themselves for the home: they
// started together, and the store went away before they read of each other.
TEST_CASE("gateways added before an outage keep to the bound as well") {
  constexpr double kPerS = 20;
  constexpr int kAdded = 8;
  for (const Ms store_away_after : {Ms{150}, Ms{300}, Ms{600}}) {
    CAPTURE(store_away_after.count);
    TestCluster cluster(4, 4);
    ConfigureCold(cluster, kPerS);
    cluster.RunFor(kStartTime);
    for (const auto& server : cluster.plain) {
      MakeCold(cluster, *server, Seconds(kColdStartS));
    }
    for (int i = 0; i < kAdded; ++i) {
      cluster.AddGateway("added-" + std::to_string(i));
    }
    const Ms from = Clock::Steady().Now();
    cluster.RunFor(store_away_after);
    cluster.store.faults.unavailable = true;
    RunLoad(cluster, Ms{3}, Seconds(6));
    cluster.store.faults.unavailable = false;
    RunLoad(cluster, Ms{3}, Seconds(4));
    for (const auto& server : cluster.plain) {
      MESSAGE("most " << MostInASecond(*server, from) << " reached "
                      << server->received.size());
      CHECK(MostInASecond(*server, from) <= 1.5 * kPerS + 5);
      CHECK(server->received.size() >= 40);
    }
  }
}

TEST_CASE("an upstream is cold until the time that its entry stated") {
  TestCluster cluster(1);
  ConfigureCold(cluster);
  cluster.RunFor(kStartTime);
  FakeServer& server = *cluster.plain[0];
  MakeCold(cluster, server, Ms{1500});
  CHECK(StateOf(cluster, server)["cold_ms"] > 0);
  CHECK(StateOf(cluster, server)["cold_per_s"] == kColdPerS);
  // Each 410 makes the gateway read the same rows again.
  cluster.store.faults.oldest_feed_version = 1000;
  cluster.RunFor(Ms{1500});
  CHECK(StateOf(cluster, server)["cold_ms"] == 0);
  cluster.store.faults.oldest_feed_version = 0;
  const Ms from = Clock::Steady().Now();
  RunLoad(cluster, Ms{10}, Seconds(2));
  CHECK(MostInASecond(server, from) > kMostInASecond);
}

TEST_CASE("an upstream that becomes cold again is bounded again") {
  struct Row {
    const char* what;
    uint64_t started_at_ms;
  };
  const Row rows[] = {
      {"same incarnation", FakeServer::kStartedAtMs},
      {"new incarnation", FakeServer::kStartedAtMs + 60000},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    TestCluster cluster(2);
    ConfigureCold(cluster);
    cluster.RunFor(kStartTime);
    FakeServer& server = *cluster.plain[0];
    MakeCold(cluster, server, Seconds(kColdStartS));
    MakeCold(cluster, server, Ms{0});
    Ms from = Clock::Steady().Now();
    RunLoad(cluster, Ms{10}, Seconds(1));
    CHECK(MostInASecond(server, from) > kMostInASecond);
    server.cold_remaining = Seconds(kColdStartS);
    WriteEntry(cluster, server, row.started_at_ms);
    cluster.RunFor(Ms{200});
    from = Clock::Steady().Now();
    RunLoad(cluster, Ms{10}, Seconds(3));
    CHECK(MostInASecond(server, from) <= kMostInASecond);
  }
}

TEST_CASE(
    "an upstream that crashed is taken for cold before its entry says so") {
  TestCluster cluster(1, 1);
  ConfigureCold(cluster);
  cluster.RunFor(kStartTime);
  FakeServer& server = *cluster.plain[0];
  cluster.Call(PlainCall("/safe/x"));
  CHECK(StateOf(cluster, server)["cold_ms"] == 0);
  server.crash_on = "poison";
  CallerRequest call = PlainCall("/once/x");
  call.body = "poison";
  cluster.Call(call);
  // The store is away, so no entry tells of the restart.
  cluster.store.faults.unavailable = true;
  cluster.RunFor(server.restart_delay + Ms{200});
  CHECK(StateOf(cluster, server)["cold_ms"] > 0);
  const Ms from = Clock::Steady().Now();
  RunLoad(cluster, Ms{10}, Seconds(2));
  CHECK(MostInASecond(server, from) <= kMostInASecond);
  // The next heartbeat of the same incarnation denies it.
  cluster.store.faults.unavailable = false;
  WriteEntry(cluster, server);
  CHECK(cluster.RunUntil(
      [&] { return StateOf(cluster, server)["cold_ms"] == 0; }, Seconds(3)));
}

TEST_CASE("the load of a failure domain that returns cold goes to the others") {
  constexpr int kServers = 8;
  TestCluster cluster(3, kServers);
  ConfigureCold(cluster);
  cluster.RunFor(kStartTime);
  // Also far from the gateways, so that these prefer none.
  cluster.plain[0]->failure_domain = "c";
  WriteEntry(cluster, *cluster.plain[0]);
  for (int i = 1; i < kServers; ++i) {
    FakeServer& server = *cluster.plain[static_cast<size_t>(i)];
    server.failure_domain = "b";
    server.cold_remaining = Seconds(kColdStartS);
    WriteEntry(cluster, server);
  }
  cluster.store.Put("op", "evacuate/b", "");
  cluster.RunFor(Ms{500});
  cluster.store.Remove("op", "evacuate/b");
  cluster.RunFor(Ms{500});
  const Ms from = Clock::Steady().Now();
  const Responses responses = RunLoad(cluster, Ms{8}, Seconds(3));
  for (const auto& response : responses) {
    CHECK(response->status == 200);
    CHECK(response->elapsed < Ms{200});
  }
  for (int i = 1; i < kServers; ++i) {
    const FakeServer& server = *cluster.plain[static_cast<size_t>(i)];
    CHECK(MostInASecond(server, from) <= kMostInASecond);
    CHECK(!server.received.empty());
  }
}

TEST_CASE("a stated limit and the bound of a cold upstream hold together") {
  struct Row {
    const char* what;
    const char* stated;
    double least_per_s;
  };
  const Row rows[] = {{"limit is less", "2", 2}, {"bound is less", "40", 4}};
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    TestCluster cluster(2, 2);
    ConfigureCold(cluster);
    cluster.RunFor(kStartTime);
    FakeServer& server = *cluster.plain[0];
    server.limit_per_s = row.stated;
    MakeCold(cluster, server, Seconds(kColdStartS));
    RunLoad(cluster, Ms{12}, Seconds(1));
    const size_t before = server.received.size();
    RunLoad(cluster, Ms{12}, Seconds(4));
    const auto got = static_cast<double>(server.received.size() - before);
    CHECK(got <= row.least_per_s * 4 * 1.3 + 4);
    CHECK(StateOf(cluster, server)["limit_per_s"] == std::stod(row.stated));
  }
}

TEST_CASE("a service without a bound has no cold upstreams") {
  TestCluster cluster(1);
  FakeServer& server = *cluster.plain[0];
  MakeCold(cluster, server, Seconds(kColdStartS));
  const Ms from = Clock::Steady().Now();
  RunLoad(cluster, Ms{10}, Seconds(2));
  CHECK(MostInASecond(server, from) > kMostInASecond);
}

TEST_CASE("the configuration states the bound of cold upstreams") {
  struct Row {
    const char* service;
    // Unset if the configuration is rejected.
    std::optional<double> per_s;
    Ms start;
  };
  const Row rows[] = {
      {R"({"name":"s"})", 0, Ms{0}},
      {R"({"name":"s","cold_per_s":2.5,"cold_start_s":7.5})", 2.5, Ms{7500}},
      {R"({"name":"s","cold_per_s":0,"cold_start_s":0})", 0, Ms{0}},
      {R"({"name":"s","cold_per_s":null})", 0, Ms{0}},
      {R"({"name":"s","cold_per_s":-1})", std::nullopt, Ms{0}},
      {R"({"name":"s","cold_start_s":1e300})", std::nullopt, Ms{0}},
      {R"({"name":"s","cold_per_s":"2"})", std::nullopt, Ms{0}},
  };
  for (const Row& row : rows) {
    const std::string service = row.service;
    CAPTURE(service);
    const auto config =
        users_platform::DecodeConfig("{\"services\":[" + service + "]}");
    CHECK(config.ok() == row.per_s.has_value());
    if (!config.ok() || !row.per_s.has_value()) continue;
    CHECK(config->services.at("s").cold_per_s == *row.per_s);
    CHECK(config->services.at("s").cold_start == row.start);
  }
}

}  // namespace
}  // namespace knapweed::testing
