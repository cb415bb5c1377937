// Requests that crash each server that runs them come again, while many streams
// run through the same gateway. Counts how often each of them reaches a server
// after it has crashed the third.
//
// TROUBLE=few has a third of the streams.
#include <signal.h>

#include <cstdlib>

#include "standin.hpp"

namespace standin {
namespace {

constexpr int kGateways = 2;
constexpr int kServers = 8;
constexpr int kSlots = 48;
/// Streams at a time; two thirds of the places of all servers.
constexpr int kStreams = 256;
constexpr int kPoisons = 4;
constexpr int64_t kRetryMs = 9000;
constexpr int kTries = 8;
constexpr int64_t kStableMs = 3000;
constexpr int64_t kDownMs = 1500;
constexpr int kMostRetries = 3;

struct World {
  explicit World(asio::io_context& l) : loop(l), ports(l), store(l) {}
  asio::io_context& loop;
  Ports ports;
  Store store;
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::unique_ptr<Gateway>> gateways;
  std::mt19937_64 random{static_cast<uint64_t>(
      std::getenv("SEED") != nullptr ? std::atoi(std::getenv("SEED")) : 1)};
  bool stop = false;
  int running = 0;
  int streams = 0;
  /// When each poison reached a server.
  std::map<std::string, std::vector<int64_t>> reached;
};

/// A client that has a stream under way all the time.
Task<void> RunClient(World& world) {
  ++world.running;
  while (!world.stop) {
    Attempt attempt;
    attempt.target = "/chat/x";
    const std::string id = RandomId(world.random);
    attempt.body = "prompt of " + id;
    attempt.headers = {{"Request-Id", id},
                       {"Key", "key-of-ten"},
                       {"Model", "m"},
                       {"Program-Id", id.substr(0, 6)},
                       {"Session-Id", id},
                       {"Finish-Ms", "20000"},
                       {"Token-Usage", "400,136"}};
    co_await Send(world.loop, world.gateways[0]->front(), attempt);
    if (attempt.status == 200) ++world.streams;
    co_await Sleep(world.loop, 20);
  }
  --world.running;
}

/// Sends one request that crashes servers, again and again.
Task<void> RunPoison(World& world, std::string name) {
  ++world.running;
  for (int i = 0; i < kTries; ++i) {
    Attempt attempt;
    attempt.method = "GET";
    attempt.target = "/read/" + name;
    attempt.deadline_ms = 1200;
    const std::string id = RandomId(world.random);
    attempt.headers = {{"Request-Id", id}, {"Key", "key-of-ten"}};
    co_await Send(world.loop, world.gateways[0]->front(), attempt);
    Note("client: request " + id + " to /read/" + name + ": status " +
         std::to_string(attempt.status) + " " + attempt.answer);
    co_await Sleep(world.loop, kRetryMs);
  }
  --world.running;
}

Reply ReplyTo(World& world, const http::request<http::string_body>& request) {
  Reply reply;
  const std::string target(request.target());
  if (target.starts_with("/read/")) {
    world.reached[target].push_back(NowMs());
    if (WithTrouble()) reply.crashes_for_ms = kDownMs;
    reply.body = "body";
    return reply;
  }
  reply.is_stream = true;
  reply.events = 30;
  reply.gap_ms = 100;
  reply.first_ms = 20;
  reply.text = [](int i) { return "t" + std::to_string(i); };
  return reply;
}

Task<int> RunPoisonCase(World& world) {
  json config = BaseConfig(3);
  config["services"][0]["engine"]["slots"] = kSlots;
  config["routes"].push_back(StreamRoute("chat", "/chat/", "llm"));
  json route = StreamRoute("read", "/read/", "llm");
  route["kind"] = "safe";
  route["resumable"] = false;
  route["max_attempts"] = 1;
  route["timeout_ms"] = 1200;
  config["routes"].push_back(route);
  world.store.Put("op", "config", config.dump());
  for (int i = 0; i < kServers; ++i) {
    world.servers.push_back(
        std::make_unique<Server>(world.loop, world.store, world.ports.Take(),
                                 "i-" + std::to_string(i), "llm", "v1"));
    world.servers.back()->slots = kSlots;
    world.servers.back()->reply = [&world](const auto& request) {
      return ReplyTo(world, request);
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
  const char* trouble = std::getenv("TROUBLE");
  const bool few = trouble != nullptr && std::string(trouble) == "few";
  const int clients = few ? kStreams / 3 : kStreams;
  for (int i = 0; i < clients; ++i) {
    Spawn(world.loop, RunClient(world));
    co_await Sleep(world.loop, 15);
  }
  co_await Sleep(world.loop, 2000);
  for (int i = 0; i < kPoisons; ++i) {
    Spawn(world.loop, RunPoison(world, "p" + std::to_string(i)));
    co_await Sleep(world.loop, kRetryMs / kPoisons);
  }
  co_await Sleep(world.loop, kTries * (kRetryMs + 100));
  world.stop = true;
  co_await Sleep(world.loop, 5000);
  int broken = 0;
  for (const auto& [target, times] : world.reached) {
    int retries = 0;
    for (size_t i = 3; i < times.size(); ++i) {
      if (times[i] > times[2] + kStableMs) ++retries;
    }
    const bool over = WithTrouble() && retries > kMostRetries;
    if (over) ++broken;
    Note(std::string(over ? "BROKEN: " : "") + target + " reached servers " +
         std::to_string(times.size()) + " times, " + std::to_string(retries) +
         " of them later than 3 s after the third time");
  }
  Note(std::to_string(clients) + " clients, " + std::to_string(world.streams) +
       " streams; " + std::to_string(broken) + " requests over the bound");
  if (world.reached.size() < kPoisons || world.streams < clients) co_return 2;
  co_return broken > 0 ? 1 : 0;
}

}  // namespace
}  // namespace standin

int main() {
  signal(SIGPIPE, SIG_IGN);
  standin::OpenRecord(std::getenv("RECORD"));
  standin::asio::io_context loop;
  standin::World world(loop);
  return standin::RunCase(loop, standin::RunPoisonCase(world), 110);
}
