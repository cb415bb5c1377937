// End-to-end tests of gateways that tell each other the load of upstreams.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "knapweed/gateway/peers.h"
#include "tests/platform/world.h"

namespace knapweed::testing {
namespace {

using gateway::Task;
using nlohmann::json;

constexpr char kHomeName[] = "upstream load";

// Starts gateways with the exchange switched on or off.
void AddGateways(TestCluster& cluster, int count, bool exchanges_load) {
  cluster.edit_settings = [=](gateway::GatewayConfig& config) {
    config.exchanges_load = exchanges_load;
  };
  for (int i = 0; i < count; ++i) {
    cluster.AddGateway("gateway-" + std::to_string(i));
  }
  cluster.RunUntil([&] {
    return std::all_of(cluster.gateways.begin(), cluster.gateways.end(),
                       [](const auto& gateway) { return gateway->IsReady(); });
  });
  // Until all gateways have read of each other.
  cluster.RunFor(Ms{1500});
}

json UpstreamState(const TestCluster& cluster, size_t gateway,
                   const std::string& upstream) {
  const json state = json::parse(cluster.gateways[gateway]->StateJson());
  return state["upstreams"].value(upstream, json::object());
}

// Calls of the other gateways at the upstream, as a gateway knows them.
int OthersCalls(const TestCluster& cluster, size_t gateway,
                const std::string& upstream) {
  return UpstreamState(cluster, gateway, upstream).value("others_in_flight", 0);
}

int OwnCalls(const TestCluster& cluster, size_t gateway,
             const std::string& upstream) {
  return UpstreamState(cluster, gateway, upstream).value("in_flight", 0);
}

// Whether each gateway but `except` knows the calls of all others at each
// upstream.
bool AllKnowTheLoad(const TestCluster& cluster, size_t except = SIZE_MAX) {
  for (const auto& server : cluster.plain) {
    int total = 0;
    for (size_t i = 0; i < cluster.gateways.size(); ++i) {
      total += OwnCalls(cluster, i, server->id());
    }
    for (size_t i = 0; i < cluster.gateways.size(); ++i) {
      if (i == except) continue;
      const int others = total - OwnCalls(cluster, i, server->id());
      if (OthersCalls(cluster, i, server->id()) != others) return false;
    }
  }
  return true;
}

int TotalCalls(const TestCluster& cluster) {
  int total = 0;
  for (const auto& server : cluster.plain) {
    for (size_t i = 0; i < cluster.gateways.size(); ++i) {
      total += OwnCalls(cluster, i, server->id());
    }
  }
  return total;
}

// Starts calls that stay in flight for 3 s, and runs until they are.
void StartLongCalls(TestCluster& cluster, int count, int gateway) {
  const int before = TotalCalls(cluster);
  for (const auto& server : cluster.plain) {
    server->default_script.pause = Ms{3000};
  }
  for (int i = 0; i < count; ++i) {
    const std::string id =
        "g" + std::to_string(gateway) + "-" + std::to_string(i);
    cluster.StartCall(PlainCall("/safe/" + id, id), gateway);
  }
  CHECK(
      cluster.RunUntil([&] { return TotalCalls(cluster) == before + count; }));
}

size_t IndexOfHome(const TestCluster& cluster) {
  const Clock clock = Clock::Steady();
  gateway::Peers peers(clock, cluster.configs[0].peers);
  std::vector<Address> others;
  for (size_t i = 1; i < cluster.configs.size(); ++i) {
    others.push_back(cluster.configs[i].peers);
  }
  peers.SetOthers(others);
  const Address home = peers.HomeOf(kHomeName).address;
  size_t index = 0;
  while (cluster.configs[index].peers != home) ++index;
  return index;
}

uint64_t CountReports(TestCluster& cluster) {
  uint64_t total = 0;
  for (const auto& gateway : cluster.gateways) {
    const json all = json::parse(gateway->metrics().ToJson());
    for (const auto& [name, value] : all["counters"].items()) {
      if (name.starts_with("load_")) total += value.get<uint64_t>();
    }
  }
  return total;
}

// Guards against placement by a gateway's own calls only.
TEST_CASE("the load by one gateway's calls is soon known at the others") {
  TestCluster cluster(0);
  AddGateways(cluster, 4, true);
  for (int gateway = 0; gateway < 4; ++gateway) {
    StartLongCalls(cluster, 1 + gateway, gateway);
  }
  CHECK(cluster.RunUntil([&] { return AllKnowTheLoad(cluster); }, Seconds(1)));
  CHECK(TotalCalls(cluster) == 10);
  for (size_t i = 0; i < 4; ++i) {
    const json age = UpstreamState(cluster, i, "plain-0")["others_age_ms"];
    REQUIRE(age.is_number());
    CHECK(age.get<int>() < 1000);
  }
  // After the calls have ended, their load is gone too.
  CHECK(cluster.RunUntil([&] { return TotalCalls(cluster) == 0; }));
  CHECK(cluster.RunUntil([&] { return AllKnowTheLoad(cluster); }, Seconds(1)));
}

// Guards against reports to a home that is stopping, whose sums get old.
TEST_CASE("a planned stop of the home leaves the load known") {
  TestCluster cluster(0);
  AddGateways(cluster, 3, true);
  const size_t home = IndexOfHome(cluster);
  const auto other = static_cast<int>((home + 1) % 3);
  bool stopped = false;
  const auto shut_down = [&]() -> Task<void> {
    co_await cluster.gateways[home]->Shutdown();
    stopped = true;
  };
  gateway::Spawn(cluster.loop, shut_down());
  StartLongCalls(cluster, 5, other);
  CHECK(cluster.RunUntil([&] { return AllKnowTheLoad(cluster); }, Seconds(2)));
  // The other two go on without it.
  const json reports =
      json::parse(cluster.gateways[home]->metrics().ToJson())["counters"];
  const auto taken = reports.value("load_reports_total{outcome=\"taken\"}", 0);
  cluster.RunFor(Ms{500});
  const json later =
      json::parse(cluster.gateways[home]->metrics().ToJson())["counters"];
  CHECK(later.value("load_reports_total{outcome=\"taken\"}", 0) == taken);
  cluster.RunUntil([&] { return stopped; });
}

// A listening socket that accepts connections in the kernel and never answers,
// as a gateway that is paused.
class SilentPeer {
 public:
  explicit SilentPeer(gateway::asio::io_context& loop)
      : acceptor_(loop, {gateway::asio::ip::make_address_v4("127.0.0.1"), 0}) {}
  Address address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

 private:
  gateway::asio::ip::tcp::acceptor acceptor_;
};

// Guards against views that stay old while the home does not answer.
TEST_CASE("the load is known although the home is silent") {
  TestCluster cluster(0);
  AddGateways(cluster, 3, true);
  std::vector<Address> others;
  for (const gateway::GatewayConfig& config : cluster.configs) {
    others.push_back(config.peers);
  }
  // One whose address makes it the home.
  const Clock clock = Clock::Steady();
  std::vector<std::unique_ptr<SilentPeer>> peers;
  const auto is_home = [&](const Address& address) {
    gateway::Peers known(clock, address);
    known.SetOthers(others);
    return known.HomeOf(kHomeName).is_self;
  };
  do {
    peers.push_back(std::make_unique<SilentPeer>(cluster.loop));
  } while (!is_home(peers.back()->address()));
  json row = json::parse(cluster.store.Get("gateways", "gateway-0"));
  row["address"] = peers.back()->address().ToString();
  cluster.store.Put("gateways", "silent", row.dump());
  // Until all have read of it and miss its answers.
  cluster.RunFor(Ms{1200});
  StartLongCalls(cluster, 4, 0);
  CHECK(cluster.RunUntil([&] { return AllKnowTheLoad(cluster); }, Seconds(3)));
  const json counters =
      json::parse(cluster.gateways[0]->metrics().ToJson())["counters"];
  CHECK(counters.value("load_reports_total{outcome=\"unanswered\"}", 0) > 0);
}

// Guards against control traffic that nobody asked for.
TEST_CASE("without the setting no load is told") {
  TestCluster cluster(0);
  AddGateways(cluster, 3, false);
  StartLongCalls(cluster, 3, 0);
  cluster.RunFor(Ms{1000});
  CHECK(CountReports(cluster) == 0);
  for (size_t i = 0; i < 3; ++i) {
    CHECK(OthersCalls(cluster, i, "plain-0") == 0);
    CHECK(UpstreamState(cluster, i, "plain-0")["others_age_ms"].is_null());
  }
}

}  // namespace
}  // namespace knapweed::testing
