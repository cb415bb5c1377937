// The platform changes the grace period to a fraction of a second in the
// settings files, tells the gateways by SIGHUP, and stops and starts them in
// turn.
#include <signal.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "standin.hpp"

namespace standin {
namespace {

constexpr int kGateways = 3;
constexpr int kRequests = 60;
constexpr int kStarts = 3;
constexpr int64_t kRestartDelayMs = 500;
constexpr int64_t kRecoverMs = 12000;

struct World {
  explicit World(asio::io_context& l) : loop(l), ports(l), store(l) {}
  asio::io_context& loop;
  Ports ports;
  Store store;
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::unique_ptr<Gateway>> gateways;
  std::mt19937_64 random{1};
};

/// Renders "grace = {{bounds.grace_s}}s" anew.
void SetGrace(const Gateway& gateway, const std::string& grace_s) {
  const std::string path =
      std::string(std::getenv("FOLDER")) + "/" + gateway.name() + ".ini";
  std::stringstream text;
  text << std::ifstream(path).rdbuf();
  std::string settings = text.str();
  const std::string line = "grace = ";
  const size_t at = settings.find(line) + line.size();
  settings.replace(at, settings.find('\n', at) - at, grace_s + "s");
  std::ofstream(path) << settings;
  Note("settings of " + gateway.name() + ": grace_s " + grace_s);
}

Task<int> CountServed(World& world) {
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    Gateway& gateway = *world.gateways[static_cast<size_t>(i % kGateways)];
    Attempt attempt;
    attempt.method = "GET";
    attempt.target = "/get/x";
    attempt.deadline_ms = 1200;
    const std::string id = RandomId(world.random);
    attempt.headers = {{"Request-Id", id}, {"Key", "key-of-ten"}};
    co_await Send(world.loop, gateway.front(), attempt);
    if (attempt.status == 200 && attempt.is_whole) ++served;
    Note("client: request " + id + " at " + gateway.name() + ": " +
         (attempt.connected ? "status " + std::to_string(attempt.status)
                            : std::string("no connection")));
    co_await Sleep(world.loop, 20);
  }
  co_return served;
}

/// Stops one gateway and starts it again, as the platform does after each end.
/// Returns whether it runs in the end.
Task<bool> Restart(World& world, Gateway& gateway) {
  gateway.Signal(SIGTERM);
  for (int i = 0; i < 100 && gateway.Runs(); ++i) {
    co_await Sleep(world.loop, 100);
  }
  for (int start = 0; start < kStarts; ++start) {
    if (!gateway.Runs()) gateway.Start();
    co_await Sleep(world.loop, kRestartDelayMs);
  }
  co_return gateway.Runs();
}

Task<int> RunSettingsCase(World& world) {
  json config = BaseConfig(3);
  json route = StreamRoute("get", "/get/", "app");
  route["kind"] = "safe";
  route["resumable"] = false;
  config["routes"].push_back(route);
  world.store.Put("op", "config", config.dump());
  for (int i = 0; i < 3; ++i) {
    world.servers.push_back(
        std::make_unique<Server>(world.loop, world.store, world.ports.Take(),
                                 "i-" + std::to_string(i), "app", "v1"));
    world.servers.back()->reply = [](const auto&) {
      Reply reply;
      reply.first_ms = 20;
      reply.body = "body";
      return reply;
    };
  }
  std::vector<uint16_t> seeds;
  for (int i = 0; i < kGateways; ++i) {
    world.gateways.push_back(std::make_unique<Gateway>(
        world.loop, world.ports, world.store, i, std::getenv("FOLDER")));
    seeds.push_back(world.gateways.back()->peers());
  }
  for (auto& gateway : world.gateways) {
    gateway->Configure(seeds);
    gateway->Start();
  }
  co_await Sleep(world.loop, 4000);
  const int before = co_await CountServed(world);
  if (before < kRequests / 2) co_return 2;
  const std::string grace_s = WithTrouble() ? "7.5" : "7";
  for (auto& gateway : world.gateways) {
    SetGrace(*gateway, grace_s);
    gateway->Signal(SIGHUP);
  }
  co_await Sleep(world.loop, 2000);
  int running = 0;
  for (auto& gateway : world.gateways) {
    const bool runs = co_await Restart(world, *gateway);
    if (runs) ++running;
  }
  co_await Sleep(world.loop, kRecoverMs);
  const int after = co_await CountServed(world);
  Note("served before: " + std::to_string(before) + " of " +
       std::to_string(kRequests) + "; " + std::to_string(running) + " of " +
       std::to_string(kGateways) + " gateways started again; served after: " +
       std::to_string(after) + " of " + std::to_string(kRequests));
  const bool broken = running < kGateways;
  Note(broken ? "BROKEN: Fault" : "held");
  co_return broken ? 1 : 0;
}

}  // namespace
}  // namespace standin

int main() {
  signal(SIGPIPE, SIG_IGN);
  standin::OpenRecord(std::getenv("RECORD"));
  standin::asio::io_context loop;
  standin::World world(loop);
  return standin::RunCase(loop, standin::RunSettingsCase(world), 110);
}
