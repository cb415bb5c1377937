#include "tests/platform/process/callers.h"

#include <algorithm>
#include <optional>

#include "tests/platform/process/exchange.h"

namespace knapweed::testing {
namespace {

using gateway::Sleep;
using gateway::Task;

constexpr int kMaxTries = 8;
/// Tokens of each event, as the configuration states them.
constexpr int kStride = 4;
constexpr size_t kNoGateway = SIZE_MAX;

Attempt& NewAttempt(ProcessWorld& world, RequestKind kind,
                    const std::string& path) {
  Attempt it;
  it.kind = kind;
  it.path = path;
  it.id = world.NewId(std::string(NameOf(kind)));
  it.time_allowed = kRouteTimeout;
  return world.AddAttempt(std::move(it));
}

Ms PlainWork(Dice& dice) {
  const int sort = dice.Roll(1, 100);
  if (sort <= 60) return dice.RollMs(2, 60);
  if (sort <= 90) return dice.RollMs(500, 2000);
  return dice.RollMs(2500, 3700);
}

Outgoing PlainRequest(ProcessWorld& world, Dice& dice) {
  const int sort = dice.Roll(1, 100);
  const RequestKind kind = sort <= 40   ? RequestKind::kSafe
                           : sort <= 80 ? RequestKind::kUnsafe
                           : sort <= 90 ? RequestKind::kUpload
                                        : RequestKind::kSlowRead;
  const bool safe = !IsUnsafe(kind);
  Outgoing out;
  out.attempt = &NewAttempt(world, kind, safe ? "/safe/x" : "/once/x");
  out.attempt->work = PlainWork(dice);
  out.body = "input";
  if (kind == RequestKind::kUpload) out.body.assign(60000, 'u');
  if (kind == RequestKind::kSlowRead) {
    out.attempt->work = dice.RollMs(2, 60);
    out.headers[kLargeHeader] = "1";
  }
  out.headers[kPauseHeader] = std::to_string(out.attempt->work.count);
  return out;
}

/// Sets the headers of a stream and notes how long it takes.
void AskForStream(Outgoing& out, Dice& dice, int events) {
  const Ms pause = dice.RollMs(5, 300);
  const Ms gap = dice.RollMs(5, 80);
  out.headers[kPauseHeader] = std::to_string(pause.count);
  out.headers[kEventsHeader] = std::to_string(events);
  out.headers[kGapHeader] = std::to_string(gap.count);
  out.headers["Token-Usage"] = "100," + std::to_string(events * kStride);
  out.attempt->work = pause + gap * (events - 1);
}

/// Sends plain requests, some of them several at a time.
Task<void> RunPlainCaller(ProcessWorld& world, uint64_t seed) {
  Dice dice(seed);
  ConnectionPtr connection;
  while (!world.stopping) {
    const size_t to = connection != nullptr
                          ? connection->gateway
                          : world.PickGateway(dice, kNoGateway);
    connection = co_await Reach(world, std::move(connection), to);
    if (connection == nullptr) {
      co_await Sleep(world.loop, Ms{100});
      continue;
    }
    std::vector<Outgoing> batch;
    batch.push_back(PlainRequest(world, dice));
    const bool pipelines = batch[0].attempt->kind == RequestKind::kSafe ||
                           batch[0].attempt->kind == RequestKind::kUnsafe;
    if (pipelines && dice.Chance(15)) {
      batch.push_back(PlainRequest(world, dice));
      if (dice.Chance(50)) batch.push_back(PlainRequest(world, dice));
    }
    const bool open = co_await Exchange(world, *connection, std::move(batch));
    if (!open) connection.reset();
    co_await Sleep(world.loop, dice.RollMs(0, 250));
  }
  --world.callers_running;
}

/// Sends the turns of programs with a token budget.
Task<void> RunTurnCaller(ProcessWorld& world, uint64_t seed) {
  Dice dice(seed);
  ConnectionPtr connection;
  std::string program = world.NewId("program");
  while (!world.stopping) {
    const size_t to = connection != nullptr
                          ? connection->gateway
                          : world.PickGateway(dice, kNoGateway);
    connection = co_await Reach(world, std::move(connection), to);
    if (connection == nullptr) {
      co_await Sleep(world.loop, Ms{100});
      continue;
    }
    if (dice.Chance(20)) program = world.NewId("program");
    Outgoing out;
    out.attempt = &NewAttempt(world, RequestKind::kTurn, "/turn/x");
    out.body = "input";
    out.headers["Program-Id"] = program;
    out.headers["Session-Id"] = program + "-line";
    out.headers["Token-Budget"] = "100000";
    AskForStream(out, dice, dice.Roll(2, 25));
    const bool open =
        co_await Exchange(world, *connection, BatchOf(std::move(out)));
    if (!open) connection.reset();
    co_await Sleep(world.loop, dice.RollMs(0, 300));
  }
  --world.callers_running;
}

/// A stream that is taken up until it is complete.
struct Stream {
  std::string task;
  std::string begun_by;
  int events = 0;
  int last = 0;
};

Outgoing StreamRequest(ProcessWorld& world, Dice& dice, const Stream& stream) {
  Outgoing out;
  Attempt& it = NewAttempt(world, RequestKind::kResumable, "/resume/x");
  out.attempt = &it;
  it.task = stream.task;
  it.begun_by = stream.begun_by;
  it.last_event_id = stream.last;
  out.body = "input";
  AskForStream(out, dice, stream.events);
  if (stream.last > 0) {
    out.headers["Last-Event-Id"] = std::to_string(stream.last);
    out.headers["Resumes"] = stream.begun_by;
    return out;
  }
  const int sort = dice.Roll(1, 100);
  if (sort <= 30) {
    out.leaves_after = dice.Roll(1, stream.events - 1);
  } else if (sort <= 50) {
    it.upstream_breaks = true;
    out.headers[kBreakHeader] = std::to_string(dice.Roll(1, 4));
  }
  return out;
}

Task<void> RunStreamCaller(ProcessWorld& world, uint64_t seed) {
  Dice dice(seed);
  std::map<size_t, ConnectionPtr> connections;
  size_t last_gateway = kNoGateway;
  while (!world.stopping) {
    Stream stream;
    stream.task = world.NewId("stream");
    stream.events = dice.Roll(8, 30);
    for (int i = 0; i < 4 && !world.stopping; ++i) {
      const size_t to = world.PickGateway(dice, last_gateway);
      last_gateway = to;
      ConnectionPtr& connection = connections[to];
      connection = co_await Reach(world, std::move(connection), to);
      if (connection == nullptr) {
        co_await Sleep(world.loop, Ms{100});
        continue;
      }
      Outgoing out = StreamRequest(world, dice, stream);
      Attempt& it = *out.attempt;
      const bool open =
          co_await Exchange(world, *connection, BatchOf(std::move(out)));
      if (!open) connection.reset();
      if (it.end == WaitEnd::kAnswered && it.status == 200) break;
      if (stream.begun_by.empty() && it.events > 0) stream.begun_by = it.id;
      stream.last += it.events;
      co_await Sleep(world.loop, dice.RollMs(50, 400));
    }
    co_await Sleep(world.loop, dice.RollMs(0, 200));
  }
  --world.callers_running;
}

/// A turn that was answered whole, and what its chain holds.
struct KeptTurn {
  std::string id;
  std::string history;
  Ms answered_at;
};

struct ChainSettings {
  const char* path;
  Ms keep;
  int least_pause_ms;
  int most_pause_ms;
};

constexpr ChainSettings kLongChain = {"/kept/x", kLongKeep, 50, 1200};
constexpr ChainSettings kShortChain = {"/short/x", kShortKeep, 500, 5000};

struct ChainCaller {
  ChainCaller(ProcessWorld& w, const ChainSettings& s, uint64_t seed)
      : world(w), settings(s), dice(seed) {}
  ProcessWorld& world;
  const ChainSettings& settings;
  Dice dice;
  std::map<size_t, ConnectionPtr> connections;
  size_t last_gateway = kNoGateway;
  /// All turns of the chain, of which the last is the newest.
  std::vector<KeptTurn> turns;
  std::string program;
};

/// Returns the turn to continue: mostly the newest one, now and then an earlier
/// one. Null to begin a chain.
const KeptTurn* ChooseTurn(ChainCaller& caller) {
  constexpr Ms kMargin{1000};
  const Ms now = caller.world.Now();
  std::vector<const KeptTurn*> kept;
  for (const KeptTurn& it : caller.turns) {
    if (now - it.answered_at < caller.settings.keep - kMargin) {
      kept.push_back(&it);
    }
  }
  if (kept.empty()) return nullptr;
  if (caller.dice.Chance(80)) return kept.back();
  const int last = static_cast<int>(kept.size()) - 1;
  return kept[static_cast<size_t>(caller.dice.Roll(0, last))];
}

Outgoing KeptRequest(ChainCaller& caller, const KeptTurn* previous,
                     const std::string& task, int events) {
  Outgoing out;
  Attempt& it =
      NewAttempt(caller.world, RequestKind::kKept, caller.settings.path);
  out.attempt = &it;
  it.task = task;
  it.keep = caller.settings.keep;
  out.body = "input " + task + ";";
  it.expected_body = out.body;
  if (previous != nullptr) {
    it.previous = previous->id;
    it.previous_answered_at = previous->answered_at;
    it.expected_body = previous->history + out.body;
    out.headers["Previous-Turn"] = previous->id;
  }
  out.headers["Program-Id"] = caller.program;
  out.headers["Session-Id"] = caller.program + "-line";
  out.headers["Token-Budget"] = "100000";
  AskForStream(out, caller.dice, events);
  return out;
}

KeptTurn TurnOf(const Attempt& attempt, int events) {
  KeptTurn turn;
  turn.id = attempt.id;
  turn.answered_at = attempt.ended_at;
  turn.history = attempt.expected_body;
  for (int i = 1; i <= events; ++i) {
    turn.history += "word" + std::to_string(i) + "\n";
  }
  return turn;
}

/// Sends one turn until it is answered whole, each time to another gateway.
Task<bool> RunTurn(ChainCaller& caller, const KeptTurn* chosen) {
  std::optional<KeptTurn> previous;
  if (chosen != nullptr) previous = *chosen;
  const std::string task = caller.world.NewId("task");
  const int events = caller.dice.Roll(2, 15);
  for (int tries = 0; tries < kMaxTries && !caller.world.stopping; ++tries) {
    const size_t to =
        caller.world.PickGateway(caller.dice, caller.last_gateway);
    caller.last_gateway = to;
    ConnectionPtr& connection = caller.connections[to];
    connection = co_await Reach(caller.world, std::move(connection), to);
    if (connection == nullptr) {
      co_await Sleep(caller.world.loop, Ms{100});
      continue;
    }
    Outgoing out =
        KeptRequest(caller, previous ? &*previous : nullptr, task, events);
    Attempt& it = *out.attempt;
    const bool open =
        co_await Exchange(caller.world, *connection, BatchOf(std::move(out)));
    if (!open) connection.reset();
    if (it.end == WaitEnd::kAnswered && it.status == 200) {
      caller.turns.push_back(TurnOf(it, events));
      co_return true;
    }
    if (it.status == 404 || it.status == 410) co_return false;
    co_await Sleep(caller.world.loop, caller.dice.RollMs(100, 400));
  }
  co_return false;
}

Task<void> RunChainCaller(ProcessWorld& world, const ChainSettings& settings,
                          uint64_t seed) {
  constexpr size_t kMaxChain = 150;
  ChainCaller caller(world, settings, seed);
  caller.program = world.NewId("program");
  while (!world.stopping) {
    if (caller.turns.size() >= kMaxChain) {
      caller.turns.clear();
      caller.program = world.NewId("program");
    }
    co_await RunTurn(caller, ChooseTurn(caller));
    co_await Sleep(world.loop, caller.dice.RollMs(settings.least_pause_ms,
                                                  settings.most_pause_ms));
  }
  --world.callers_running;
}

}  // namespace

void StartCallers(ProcessWorld& world, const CallerCounts& counts,
                  uint64_t seed) {
  const auto start = [&](int n, const auto& run) {
    for (int i = 0; i < n; ++i) {
      ++world.callers_running;
      gateway::Spawn(world.loop, run(++seed));
    }
  };
  seed *= 1000;
  start(counts.plain, [&](uint64_t s) { return RunPlainCaller(world, s); });
  start(counts.turns, [&](uint64_t s) { return RunTurnCaller(world, s); });
  start(counts.resumable,
        [&](uint64_t s) { return RunStreamCaller(world, s); });
  start(counts.long_chains,
        [&](uint64_t s) { return RunChainCaller(world, kLongChain, s); });
  start(counts.short_chains,
        [&](uint64_t s) { return RunChainCaller(world, kShortChain, s); });
}

}  // namespace knapweed::testing
