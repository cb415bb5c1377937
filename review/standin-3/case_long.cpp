// Streams that last for forty seconds, of a route that two services share
// evenly. One gateway is killed while it forwards streams. Their clients take
// them up again at the other gateways.
#include <signal.h>

#include <cstdlib>
#include <deque>

#include "standin.hpp"

namespace standin {
namespace {

constexpr int kGateways = 3;
constexpr int kServersOfEach = 3;
constexpr int kStreams = 60;
constexpr int kEvents = 400;
constexpr int64_t kDeadlineMs = 60000;
/// Long enough for the first events.
constexpr int64_t kNewDeadlineMs = 3000;
/// Time from the begin of the streams until the gateway is killed.
constexpr int64_t kKillAfterMs = 35000;

struct Stream {
  std::string id;
  std::string line;
  /// Events that the client has, and the attempts to take the stream up again.
  int events = 0;
  int taken_up = 0;
  bool was_cut = false;
  bool went_on = false;
  bool is_whole = false;
};

struct World {
  explicit World(asio::io_context& l) : loop(l), ports(l), store(l) {}
  asio::io_context& loop;
  Ports ports;
  Store store;
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::unique_ptr<Gateway>> gateways;
  std::mt19937_64 random{static_cast<uint64_t>(
      std::getenv("SEED") != nullptr ? std::atoi(std::getenv("SEED")) : 1)};
  std::deque<Stream> streams;
  int under_way = 0;
  int new_tried = 0;
  int new_begun = 0;
  int version = 3;

  int Roll(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random);
  }
};

void Configure(World& world) {
  json config = BaseConfig(world.version++);
  json engine = config["services"][0];
  engine["name"] = "llm2";
  config["services"].push_back(engine);
  json route = StreamRoute("chat", "/chat/", "llm");
  route.erase("service");
  route["backends"] = {{{"service", "llm"}, {"weight", 50}},
                       {{"service", "llm2"}, {"weight", 50}}};
  route["timeout_ms"] = kDeadlineMs;
  config["routes"].push_back(route);
  world.store.Put("op", "config", config.dump());
  Note("configuration: llm 50, llm2 50");
}

Attempt AttemptFor(World& world, const std::string& line, int64_t left_ms) {
  Attempt attempt;
  attempt.target = "/chat/x";
  attempt.body = "prompt";
  attempt.deadline_ms = left_ms;
  const std::string id = RandomId(world.random);
  attempt.headers = {
      {"Request-Id", id},         {"Key", "key-of-ten"}, {"Model", "m"},
      {"Program-Id", "p" + line}, {"Session-Id", line},  {"Finish-Ms", "20000"},
      {"Token-Usage", "400,1600"}};
  return attempt;
}

/// One stream of a client at the first gateway, with what it does when it is
/// cut off.
Task<void> RunStream(World& world, Stream& stream) {
  ++world.under_way;
  const int64_t until = NowMs() + kDeadlineMs;
  Attempt first = AttemptFor(world, stream.line, kDeadlineMs);
  stream.id = first.headers["Request-Id"];
  co_await Send(world.loop, world.gateways[0]->front(), first);
  const std::vector<int> ids = EventIds(first.answer);
  stream.events = ids.empty() ? 0 : ids.back();
  stream.is_whole = first.is_whole && first.status == 200;
  Note("client: stream " + stream.id + " of line " + stream.line + " from " +
       world.gateways[0]->name() + " status " + std::to_string(first.status) +
       ", events until " + std::to_string(stream.events) +
       (stream.is_whole ? ", whole" : ", cut off"));
  stream.was_cut = !stream.is_whole && stream.events > 0;
  constexpr int kMostTries = 3;
  while (stream.was_cut && !stream.went_on && stream.taken_up < kMostTries) {
    const int64_t left = until - NowMs();
    if (left < 200) break;
    const size_t to = static_cast<size_t>(world.Roll(1, kGateways - 1));
    Attempt again = AttemptFor(world, stream.line, left);
    again.headers["Last-Event-Id"] = std::to_string(stream.events);
    again.headers["Resumes"] = stream.id;
    ++stream.taken_up;
    co_await Send(world.loop, world.gateways[to]->front(), again);
    const std::vector<int> more = EventIds(again.answer);
    stream.went_on = !more.empty() && more.front() == stream.events + 1;
    Note("client: takes up " + stream.id + " after event " +
         std::to_string(stream.events) + " by " + again.headers["Request-Id"] +
         " at " + world.gateways[to]->name() + ": status " +
         std::to_string(again.status) + ", " + std::to_string(more.size()) +
         " more events " + (again.status == 200 ? "" : again.answer));
    co_await Sleep(world.loop, 100);
  }
  --world.under_way;
}

/// A new stream at a gateway that is not killed.
Task<void> BeginNew(World& world) {
  ++world.under_way;
  Attempt attempt =
      AttemptFor(world, RandomId(world.random).substr(0, 8), kNewDeadlineMs);
  const size_t to = static_cast<size_t>(world.Roll(1, kGateways - 1));
  co_await Send(world.loop, world.gateways[to]->front(), attempt);
  ++world.new_tried;
  if (!EventIds(attempt.answer).empty()) ++world.new_begun;
  Note("client: new stream from " + world.gateways[to]->name() + " status " +
       std::to_string(attempt.status));
  --world.under_way;
}

Task<bool> WaitUntilReady(World& world) {
  for (auto& gateway : world.gateways) {
    bool ready = false;
    for (int i = 0; i < 100 && !ready; ++i) {
      ready = co_await gateway->IsReady();
      if (!ready) co_await Sleep(world.loop, 100);
    }
    if (!ready) co_return false;
  }
  co_return true;
}

Task<void> RunStreams(World& world) {
  for (int i = 0; i < kStreams; ++i) {
    Stream& stream = world.streams.emplace_back();
    stream.line = RandomId(world.random).substr(0, 8);
    Spawn(world.loop, RunStream(world, stream));
  }
  co_await Sleep(world.loop, kKillAfterMs);
  if (WithTrouble()) world.gateways[0]->Kill();
  for (int i = 0; i < kStreams / 3; ++i) Spawn(world.loop, BeginNew(world));
  co_await Sleep(world.loop, 1000);
  if (WithTrouble()) world.gateways[0]->Start();
  while (world.under_way > 0) {
    co_await Sleep(world.loop, 100);
  }
}

Task<int> RunLongCase(World& world) {
  for (int i = 0; i < 2 * kServersOfEach; ++i) {
    world.servers.push_back(std::make_unique<Server>(
        world.loop, world.store, world.ports.Take(), "i-" + std::to_string(i),
        i % 2 == 0 ? "llm" : "llm2", "v1"));
    world.servers.back()->reply = [](const auto&) {
      Reply reply;
      reply.is_stream = true;
      reply.events = kEvents;
      reply.gap_ms = 100;
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
  Configure(world);
  co_await Sleep(world.loop, 100);
  for (auto& gateway : world.gateways) {
    gateway->Configure(seeds);
    gateway->Start();
  }
  const bool ready = co_await WaitUntilReady(world);
  if (!ready) co_return 2;
  co_await Sleep(world.loop, 4000);
  co_await RunStreams(world);
  int taken_up = 0;
  int went_on = 0;
  int whole = 0;
  int tries = 0;
  for (const Stream& stream : world.streams) {
    if (stream.is_whole) ++whole;
    if (stream.taken_up == 0) continue;
    tries += stream.taken_up;
    ++taken_up;
    if (stream.went_on) ++went_on;
  }
  Note(std::to_string(whole) + " streams came whole at once; " +
       std::to_string(taken_up) + " were taken up again, in " +
       std::to_string(tries) + " tries, of which " + std::to_string(went_on) +
       " went on; of " + std::to_string(world.new_tried) + " new streams " +
       std::to_string(world.new_begun) + " began");
  if (world.new_tried == 0 || whole + taken_up == 0) co_return 2;
  const double share = taken_up > 0 ? double(went_on) / taken_up : 1;
  const double share_of_new = double(world.new_begun) / world.new_tried;
  const bool broken = taken_up >= 12 && share < share_of_new / 2;
  Note(broken ? "BROKEN: LOST" : "held");
  co_return broken ? 1 : 0;
}

}  // namespace
}  // namespace standin

int main() {
  signal(SIGPIPE, SIG_IGN);
  standin::OpenRecord(std::getenv("RECORD"));
  standin::asio::io_context loop;
  standin::World world(loop);
  return standin::RunCase(loop, standin::RunLongCase(world), 110);
}
