// Programs that loop without end, on three gateways, in rounds. In each round
// the store loses answers to writes for a while, and two of the gateways are
// killed at once and start again. The tokens that clients get of each program
// are summed up.
#include <signal.h>

#include <cstdlib>
#include <deque>

#include "standin.hpp"

namespace standin {
namespace {

constexpr int kGateways = 3;
constexpr int kServers = 6;
constexpr int kPrograms = 60;
/// A program begins so often.
constexpr int64_t kProgramEveryMs = 20;
constexpr int kWorkers = 6;
constexpr int kBudget = 884;
constexpr int kMostTokens = 136;
constexpr int64_t kTrafficMs = 15000;
constexpr int kRounds = 3;
/// Share of the writes whose answers are lost, in per cent, and for how long.
constexpr int kLostPercent = 35;
constexpr int64_t kLostMs = 4500;
constexpr int64_t kDownMs = 2000;

struct Program {
  std::string id;
  /// The platform sends a client's connections to one gateway while it runs.
  size_t gateway = 0;
  int tokens = 0;
  int turns = 0;
  int refused = 0;
  int workers = kWorkers;
};

struct World {
  explicit World(asio::io_context& l) : loop(l), ports(l), store(l) {}
  asio::io_context& loop;
  Ports ports;
  Store store;
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::unique_ptr<Gateway>> gateways;
  /// References to them stay valid.
  std::deque<Program> programs;
  std::mt19937_64 random{static_cast<uint64_t>(
      std::getenv("SEED") != nullptr ? std::atoi(std::getenv("SEED")) : 1)};
  bool loses_answers = false;
  int lost = 0;
  int64_t traffic_from = 0;

  int Roll(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random);
  }
};

Task<void> RunWorker(World& world, Program& program, bool begins_short) {
  int told_spent = 0;
  bool is_short = begins_short;
  while (NowMs() - world.traffic_from < kTrafficMs && told_spent < 3) {
    Gateway& gateway = *world.gateways[program.gateway];
    Attempt turn;
    turn.target = "/chat/x";
    turn.body = is_short ? "short" : "long";
    is_short = false;
    const std::string id = RandomId(world.random);
    turn.headers = {
        {"Request-Id", id},
        {"Key", "key-of-ten"},
        {"Model", "m"},
        {"Program-Id", program.id},
        {"Session-Id", id.substr(0, 6)},
        {"Finish-Ms", "20000"},
        {"Token-Budget", std::to_string(kBudget)},
        {"Token-Usage", "400," + std::to_string(kMostTokens)},
        {"Prompt-Prefix", "5c1e07a2:300," + id.substr(0, 8) + ":100"}};
    co_await Send(world.loop, gateway.front(), turn);
    const int tokens = static_cast<int>(EventIds(turn.answer).size()) * kStride;
    if (turn.status == 200) {
      ++program.turns;
      program.tokens += tokens;
      Note("client got " + std::to_string(tokens) + " tokens of program " +
           program.id + " by request " + id + " from " + gateway.name() +
           (turn.is_whole ? ", whole" : ", broken off"));
    } else if (turn.status == 402) {
      ++told_spent;
      ++program.refused;
    } else if (turn.connected) {
      Note("client got status " + std::to_string(turn.status) +
           " for request " + id + " from " + gateway.name() + " " +
           turn.answer);
    }
    co_await Sleep(world.loop, world.Roll(100, 400));
  }
  --program.workers;
}

Task<void> BeginPrograms(World& world, size_t first) {
  for (size_t at = first; at < first + kPrograms; ++at) {
    Program& program = world.programs[at];
    for (int i = 0; i < kWorkers; ++i) {
      Spawn(world.loop, RunWorker(world, program, i == 0));
    }
    co_await Sleep(world.loop, kProgramEveryMs);
  }
}

Task<void> Disrupt(World& world) {
  co_await Sleep(world.loop, 1300);
  world.loses_answers = true;
  Note("the store loses answers");
  co_await Sleep(world.loop, 50);
  for (size_t i = 1; i < kGateways; ++i) world.gateways[i]->Kill();
  co_await Sleep(world.loop, kDownMs);
  for (size_t i = 1; i < kGateways; ++i) world.gateways[i]->Start();
  co_await Sleep(world.loop, kLostMs - 50 - kDownMs);
  world.loses_answers = false;
  Note("the store is sound");
}

Task<void> RunRound(World& world) {
  world.traffic_from = NowMs();
  const size_t first = world.programs.size();
  for (int i = 0; i < kPrograms; ++i) {
    world.programs.push_back({RandomId(world.random).substr(0, 12), 0});
  }
  Spawn(world.loop, BeginPrograms(world, first));
  if (WithTrouble()) {
    co_await Disrupt(world);
  }
  int workers = 1;
  while (workers > 0 && NowMs() - world.traffic_from < kTrafficMs + 5000) {
    co_await Sleep(world.loop, 200);
    workers = 0;
    for (const Program& program : world.programs) workers += program.workers;
  }
  co_await Sleep(world.loop, 3000);
}

Task<int> RunBudgetCase(World& world) {
  json config = BaseConfig(3);
  config["routes"].push_back(StreamRoute("chat", "/chat/", "llm"));
  world.store.Put("op", "config", config.dump());
  for (int i = 0; i < kServers; ++i) {
    world.servers.push_back(
        std::make_unique<Server>(world.loop, world.store, world.ports.Take(),
                                 "i-" + std::to_string(i), "llm", "v1"));
    world.servers.back()->reply = [](const auto& request) {
      Reply reply;
      reply.is_stream = true;
      // Some turns generate less than the most that they may.
      reply.events = request.body() == "short" ? 10 : kMostTokens / kStride;
      reply.gap_ms = 100;
      reply.first_ms = 20;
      reply.text = [](int i) { return "t" + std::to_string(i); };
      return reply;
    };
  }
  world.store.fate = [&world](int, const json&) {
    CommitFate fate;
    fate.is_lost = world.loses_answers && world.Roll(1, 100) <= kLostPercent;
    if (fate.is_lost) ++world.lost;
    return fate;
  };
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
  for (auto& gateway : world.gateways) {
    bool ready = false;
    for (int i = 0; i < 100 && !ready; ++i) {
      ready = co_await gateway->IsReady();
      if (!ready) co_await Sleep(world.loop, 50);
    }
    if (!ready) co_return 2;
  }
  co_await Sleep(world.loop, 4000);
  for (int round = 0; round < kRounds; ++round) {
    Note("round " + std::to_string(round + 1));
    co_await RunRound(world);
  }
  int broken = 0;
  int turns = 0;
  int refused = 0;
  for (const Program& program : world.programs) {
    turns += program.turns;
    refused += program.refused;
    const bool over = program.tokens > kBudget + kMostTokens;
    if (over) ++broken;
    Note(std::string(over ? "BROKEN: " : "") + "program " + program.id +
         " got " + std::to_string(program.tokens) + " tokens in " +
         std::to_string(program.turns) + " turns; its budget is " +
         std::to_string(kBudget) + ", and " + std::to_string(kMostTokens) +
         " for one turn more");
  }
  Note(std::to_string(turns) + " turns, " + std::to_string(refused) +
       " answers 402, " + std::to_string(world.lost) + " answers lost, " +
       std::to_string(broken) + " programs over their budget");
  if (turns < kPrograms) co_return 2;
  co_return broken > 0 ? 1 : 0;
}

}  // namespace
}  // namespace standin

int main() {
  signal(SIGPIPE, SIG_IGN);
  standin::OpenRecord(std::getenv("RECORD"));
  standin::asio::io_context loop;
  standin::World world(loop);
  return standin::RunCase(loop, standin::RunBudgetCase(world), 110);
}
