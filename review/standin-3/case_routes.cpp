// The configuration grows by many routes of resumable streams. Requests go to
// the first routes and to those that were added; then all gateways are killed
// and come back.
#include <signal.h>

#include <cstdlib>

#include "standin.hpp"

namespace standin {
namespace {

constexpr int kGateways = 3;
constexpr int kServers = 6;
constexpr char kService[] = "roster-agents";
constexpr int kFirstRoutes = 3;
constexpr int kAddedRoutes = 1400;
constexpr int kRequests = 60;
constexpr int64_t kRecoverMs = 15000;
constexpr int64_t kDownMs = 900;

struct World {
  explicit World(asio::io_context& l) : loop(l), ports(l), store(l) {}
  asio::io_context& loop;
  Ports ports;
  Store store;
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::unique_ptr<Gateway>> gateways;
  std::mt19937_64 random{1};
  int version = 3;
  int under_way = 0;
};

struct Tally {
  int sent = 0;
  int served = 0;
};

std::string PrefixOf(int route) {
  char prefix[32];
  snprintf(prefix, sizeof(prefix), "/chat%04d/", route);
  return prefix;
}

void Configure(World& world, int routes) {
  json config = BaseConfig(world.version++);
  config["services"][0]["name"] = kService;
  for (int i = 0; i < routes; ++i) {
    config["routes"].push_back(
        StreamRoute("r-" + std::to_string(i), PrefixOf(i), kService));
  }
  world.store.Put("op", "config", config.dump());
  Note("configuration with " + std::to_string(routes) + " routes");
}

Task<void> Request(World& world, int route, Tally& tally) {
  ++world.under_way;
  ++tally.sent;
  Attempt attempt;
  attempt.target = PrefixOf(route) + "x";
  attempt.body = "prompt";
  const std::string id = RandomId(world.random);
  attempt.headers = {{"Request-Id", id},
                     {"Key", "key-of-ten"},
                     {"Model", "m"},
                     {"Program-Id", id.substr(0, 6)},
                     {"Session-Id", id},
                     {"Finish-Ms", "20000"},
                     {"Token-Usage", "400,136"}};
  const size_t to = static_cast<size_t>(tally.sent % kGateways);
  co_await Send(world.loop, world.gateways[to]->front(), attempt);
  const bool served = attempt.status == 200 && attempt.is_whole;
  if (served) ++tally.served;
  Note("client: request " + id + " to " + attempt.target + " at " +
       world.gateways[to]->name() + ": status " +
       std::to_string(attempt.status) + (served ? ", whole" : "") + " " +
       (attempt.status == 200 ? "" : attempt.answer));
  --world.under_way;
}

/// Sends requests to the routes from `first` on, one each 50 ms, and waits.
Task<Tally> SendAll(World& world, int first, int routes) {
  Tally tally;
  for (int i = 0; i < kRequests; ++i) {
    Spawn(world.loop, Request(world, first + i * 7 % routes, tally));
    co_await Sleep(world.loop, 50);
  }
  while (world.under_way > 0) {
    co_await Sleep(world.loop, 50);
  }
  co_return tally;
}

std::string Text(const Tally& tally) {
  return std::to_string(tally.served) + " of " + std::to_string(tally.sent);
}

Task<bool> WaitUntilReady(World& world) {
  for (auto& gateway : world.gateways) {
    bool ready = false;
    for (int i = 0; i < 150 && !ready; ++i) {
      ready = co_await gateway->IsReady();
      if (!ready) co_await Sleep(world.loop, 100);
    }
    if (!ready) co_return false;
  }
  co_return true;
}

Task<int> RunRoutesCase(World& world) {
  for (int i = 0; i < kServers; ++i) {
    world.servers.push_back(
        std::make_unique<Server>(world.loop, world.store, world.ports.Take(),
                                 "i-" + std::to_string(i), kService, "v1"));
    world.servers.back()->reply = [](const auto&) {
      Reply reply;
      reply.is_stream = true;
      reply.events = 7;
      reply.gap_ms = 20;
      reply.first_ms = 20;
      reply.text = [](int n) { return "t" + std::to_string(n); };
      return reply;
    };
  }
  std::vector<uint16_t> seeds;
  for (int i = 0; i < kGateways; ++i) {
    world.gateways.push_back(std::make_unique<Gateway>(
        world.loop, world.ports, world.store, i, std::getenv("FOLDER")));
    seeds.push_back(world.gateways.back()->peers());
  }
  Configure(world, kFirstRoutes);
  for (auto& gateway : world.gateways) {
    gateway->Configure(seeds);
    gateway->Start();
  }
  bool ready = co_await WaitUntilReady(world);
  if (!ready) co_return 2;
  co_await Sleep(world.loop, 4000);
  const Tally before = co_await SendAll(world, 0, kFirstRoutes);
  int added = 0;
  if (WithTrouble()) {
    added = kAddedRoutes;
    Configure(world, kFirstRoutes + added);
  }
  co_await Sleep(world.loop, 8000);
  const Tally first = co_await SendAll(world, 0, kFirstRoutes);
  Tally later = first;
  if (added > 0) later = co_await SendAll(world, kFirstRoutes, added);
  Note("the final fault");
  for (auto& gateway : world.gateways) gateway->Kill();
  co_await Sleep(world.loop, kDownMs);
  for (auto& gateway : world.gateways) gateway->Start();
  co_await Sleep(world.loop, kRecoverMs);
  const Tally after = co_await SendAll(world, 0, kFirstRoutes);
  Note("served before: " + Text(before) +
       "; with all routes, on the first ones: " + Text(first) +
       ", on those that were added: " + Text(later) +
       "; after the final fault, on the first ones: " + Text(after));
  if (before.served * 4 < before.sent) co_return 2;
  const bool config_broken = added > 0 && later.served * 4 < first.served;
  const bool recover_broken =
      first.served * 4 >= first.sent && after.served * 4 < after.sent;
  if (config_broken) Note("BROKEN: CONFIG");
  if (recover_broken) Note("BROKEN: RECOVER");
  co_return config_broken || recover_broken ? 1 : 0;
}

}  // namespace
}  // namespace standin

int main() {
  signal(SIGPIPE, SIG_IGN);
  standin::OpenRecord(std::getenv("RECORD"));
  standin::asio::io_context loop;
  standin::World world(loop);
  return standin::RunCase(loop, standin::RunRoutesCase(world), 110);
}
