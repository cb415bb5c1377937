// Case: the home of programs' budgets is killed once; their turns are refused while
// their budgets have room for several more.
#include "fleet.hpp"

using namespace review;

namespace {

constexpr int kStableMs = 3000;
constexpr int kMostTokens = 136;
constexpr int kStride = 4;
/// A program's budget, in turns at their most.
constexpr int kBudgetTurns = 21;
constexpr int kPrograms = 18;
constexpr int kTurnsBeforeKill = 3;
/// After so many turns the program's tools take until nothing is disrupted any more.
constexpr int kTurnsBeforePause = 14;
/// A turn is sent up to three times, each with one retry of the client.
constexpr int kTries = 6;
constexpr int kAimMs = 40000;
constexpr int kBudget = kBudgetTurns * kMostTokens;

struct Program {
  std::string id = NewRequestId();
  std::string last;
  int turns = 0;
  int tokens = 0;
  /// Tokens of its turns that broke off, at their most.
  int unsure_tokens = 0;
  bool is_lost = false;
  int64_t aim = 0;
};

int CountEvents(const std::string& body) {
  int count = 0;
  for (size_t at = 0; (at = body.find("\n\n", at)) != std::string::npos; at += 2) ++count;
  return count;
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  record.Open(argc > 1 ? argv[1] : "record.txt");
  const bool trouble = HasTrouble();
  Fleet fleet;
  std::mutex mutex;
  std::set<std::string> reached;
  for (int i = 0; i < 4; ++i) {
    Server& server = fleet.AddServer("engines");
    server.handle = [](const Message&) {
      Action action;
      action.work_ms = 20;
      for (int k = 0; k < kMostTokens / kStride; ++k) action.events.push_back("x");
      action.event_gap_ms = 3;
      return action;
    };
    server.on_run = [&](const std::string&, const Message& request) {
      const std::lock_guard lock(mutex);
      reached.insert(Find(request.headers, "Request-Id"));
    };
  }
  const json config = {
      {"version", 1},
      {"routes",
       {{{"name", "r-turn"}, {"host", "front.example"}, {"prefix", "/turn/"},
         {"kind", "streaming"}, {"timeout_ms", 4000}, {"target_latency_ms", 250},
         {"priority", 0}, {"service", "engines"}, {"max_attempts", 2},
         {"public", false}, {"sticky", true}, {"keeps_history", true}, {"keep_s", 60.0},
         {"resumable", false}, {"gap_aim_ms", 200}}}},
      {"services",
       {{{"name", "engines"}, {"health_path", "/health"}, {"max_connections", 150},
         {"protocol", "h1"}, {"tls", false},
         {"engine", {{"slots", 12}, {"kv_tokens", 174738}, {"stride", kStride}}}}}},
      {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304},
                  {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}},
      {"tenants", {{{"name", "tenant1"}, {"api_keys", {"key1"}}, {"priority", 1}}}}};
  fleet.store.Put("op", "config", config.dump());
  for (const auto& server : fleet.servers) server->Start();
  fleet.StartBeats();
  fleet.AddGateways(3);
  for (const auto& gateway : fleet.gateways) gateway->Start();
  if (!fleet.WaitReady()) {
    record.Line("The gateways did not become ready.");
    End(fleet, kNotRun);
  }
  SleepMs(3500);
  std::atomic<int64_t> calm_from{0};
  std::atomic<int> begun{0};
  std::atomic<bool> was_killed{false};
  std::atomic<int> first_turns{0};
  std::atomic<int> first_reached{0};
  // The clients of these programs are at edge-2 and edge-3, which run all the while.
  const auto send = [&](Program& program, const std::string& id, int number) {
    Headers headers = {{"Request-Id", id},
                       {"Key", "key1"},
                       {"Program-Id", program.id},
                       {"Session-Id", program.id},
                       {"Finish-Ms", std::to_string(std::max<int64_t>(program.aim - NowMs(), 0))},
                       {"Token-Budget", std::to_string(kBudget)},
                       {"Token-Usage", "100," + std::to_string(kMostTokens)}};
    if (!program.last.empty()) headers.emplace("Previous-Turn", program.last);
    const int port = fleet.gateways[static_cast<size_t>(1 + number % 2)]->callers;
    return Call(port, "POST", "/turn/x", headers, "input;", 4000);
  };
  std::vector<Program> programs(kPrograms);
  const auto run_program = [&](Program& program) {
    program.aim = NowMs() + kAimMs;
    while (program.turns < kBudgetTurns && !program.is_lost) {
      if (program.turns == kTurnsBeforeKill) {
        // The kill comes while the programs are under way.
        ++begun;
        while (!was_killed) SleepMs(5);
      }
      if (program.turns == kTurnsBeforePause && trouble) {
        while (calm_from == 0 || NowMs() < calm_from) SleepMs(5);
      }
      int tries = 0;
      int calm_tries = 0;
      bool is_whole = false;
      std::string statuses;
      for (; tries < kTries && !is_whole; ++tries) {
        const std::string id = NewRequestId();
        const bool is_calm = !trouble || (calm_from > 0 && NowMs() >= calm_from);
        const Answer answer = send(program, id, program.turns + tries);
        std::unique_lock lock(mutex);
        const bool ran = reached.contains(id);
        lock.unlock();
        is_whole = answer.status == 200 && answer.message.complete;
        record.Line("SENT    request=%s program=%s turn %d: answer %d%s, %s", id.c_str(),
                    program.id.c_str(), program.turns + 1, answer.status,
                    is_whole ? " whole" : "", ran ? "ran at a server" : "reached no server");
        if (is_whole) {
          program.last = id;
          program.tokens += CountEvents(answer.message.body) * kStride;
        } else {
          if (ran) program.unsure_tokens += kMostTokens;
          if (!ran && is_calm && answer.status != 402) ++calm_tries;
          statuses += " " + std::to_string(answer.status) + " " + answer.message.body;
        }
        // Ends the program.
        if (answer.status == 402) break;
        if (program.turns == 0) {
          ++first_turns;
          if (ran) ++first_reached;
        }
        // The client waits as long as Retry-After says.
        const std::string wait = Find(answer.message.headers, "Retry-After");
        if (!is_whole) {
          SleepMs(std::max(100, static_cast<int>(1000 * std::atof(wait.c_str()))));
        }
      }
      if (is_whole) {
        ++program.turns;
        SleepMs(50);
        continue;
      }
      const int left = kBudget - program.tokens - program.unsure_tokens;
      record.Line("LOST    program=%s turn %d (continues %s): %d tries, %d of them from %d ms after "
                  "the disruption on and at no server; answers:%s; tokens got %d, at most %d of "
                  "turns that broke off, left of the budget %d = %d turns",
                  program.id.c_str(), program.turns + 1, program.last.c_str(), tries, calm_tries,
                  kStableMs, statuses.c_str(), program.tokens, program.unsure_tokens, left,
                  left / kMostTokens);
      program.is_lost = true;
      if (calm_tries < 5 || left < kMostTokens) program.aim = 0;
    }
  };
  std::vector<std::thread> threads;
  for (Program& program : programs) threads.emplace_back([&] { run_program(program); });
  while (begun < kPrograms && NowMs() < 40000) SleepMs(5);
  if (trouble) {
    record.Line("TROUBLE edge-1 is killed (SIGKILL) and starts again");
    fleet.gateways[0]->Kill();
    was_killed = true;
    SleepMs(200);
    fleet.gateways[0]->Start();
    calm_from = NowMs() + kStableMs;
    record.Line("NOTE    edge-1 has been started");
  }
  was_killed = true;
  for (std::thread& thread : threads) thread.join();
  int lost = 0;
  int ended = 0;
  for (Program& program : programs) {
    if (!program.is_lost) ++ended;
    if (program.is_lost && program.aim != 0) ++lost;
  }
  if (lost > 0) {
    // What becomes of them later.
    SleepMs(10000);
    for (Program& program : programs) {
      if (!program.is_lost || program.last.empty()) continue;
      program.aim = NowMs() + 10000;
      const Answer answer = send(program, NewRequestId(), 1);
      record.Line("NOTE    program=%s 10 s later: answer %d %s", program.id.c_str(), answer.status,
                  answer.status == 200 ? "" : answer.message.body.c_str());
    }
  }
  const bool broken = lost > 0 && first_reached * 10 >= first_turns * 9;
  record.Line("NOTE    %d of %d programs had all their turns; first turns that reached a server: %d "
              "of %d",
              ended, kPrograms, first_reached.load(), first_turns.load());
  record.Line("RESULT  %d of %d programs: a turn reached no server in five tries or more while the "
              "budget held one more turn and nothing was disrupted: %s",
              lost, kPrograms, broken ? "BROKEN" : "held");
  End(fleet, broken ? kBroken : kHeld);
}
