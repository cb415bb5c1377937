#include "benchmarks/rig/rig.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <queue>
#include <random>
#include <span>
#include <tuple>
#include <utility>
#include <vector>

#include "knapweed/policy/admission.h"
#include "knapweed/policy/cache_move.h"
#include "knapweed/policy/cache_view.h"
#include "knapweed/policy/call_queue.h"
#include "knapweed/policy/circuit_breaker.h"
#include "knapweed/policy/load_view.h"
#include "knapweed/policy/loop_detector.h"
#include "knapweed/policy/pins.h"
#include "knapweed/policy/quarantine.h"
#include "knapweed/policy/retry.h"
#include "knapweed/policy/working_set.h"

namespace knapweed::rig {
namespace {

constexpr Ms kHeartbeat{1000};
constexpr Ms kHop{1};
constexpr Ms kAllowance{120000};
constexpr Ms kRestart{15000};
constexpr Ms kCrashAfter{50};
constexpr Ms kLateEvents{5000};
/// Prefill tokens that cost an engine as much as one decoded token.
constexpr double kPrefillPerService = 20;
/// KV cache of a token, and what a transfer between engines runs at.
constexpr uint64_t kBytesPerToken = 160000;
constexpr double kLinkBytesPerS = 2.5e9;
constexpr Ms kTransferSetup{20};
/// Events carry a program number and a sequence in one word.
constexpr int kKeyBits = 24;
constexpr uint64_t kSharedKey = uint64_t{1} << 40;

enum class EventKind : uint8_t {
  kArrive,
  kNextTurn,
  kDispatch,
  kAtSidecar,
  kEngineStep,
  kHeartbeat,
  kCacheEvent,
  kCrash,
  kRestart,
  kSlowDown,
};

struct Event {
  Ms at;
  uint64_t order = 0;
  EventKind kind = EventKind::kArrive;
  uint64_t a = 0;
  uint64_t b = 0;
  bool operator>(const Event& other) const {
    return std::tie(at, order) > std::tie(other.at, other.order);
  }
};

/// What the loop detector sees of a turn.
uint64_t DigestOf(const Turn& turn) {
  return (uint64_t{turn.new_tokens} << 40) ^
         (uint64_t{turn.output_tokens} << 20) ^
         static_cast<uint64_t>(turn.tool_time.count);
}

/// Weights follow what each workspace sends within its rate: the two large ones
/// three times as much as the others.
double WeightOf(uint64_t workspace) { return workspace < 2 ? 3 : 1; }

struct Program {
  size_t turn = 0;
  uint64_t history = 0;
  uint32_t home = kNoUpstream;
  double attained = 0;
  Ms paused_at;
  bool started = false;
  bool done = false;
  LoopDetector loop;
};

struct Call {
  uint32_t program = 0;
  uint64_t prompt = 0;
  uint32_t upstream = kNoUpstream;
  uint32_t attempts = 1;
  Ms deadline;
  Ms queued_at;
  bool moved = false;
  uint32_t moved_from = kNoUpstream;
};

struct Sidecar {
  Sidecar(const Deployment& deployment, bool ideal,
          const CallQueueOptions& options)
      : engine(deployment, ideal), queue(options) {}
  EngineFake engine;
  CallQueue queue;
  bool up = true;
  uint64_t version = 0;
  /// Sequence of the cache events sent to each entry.
  std::vector<uint64_t> events;
  double refill_per_s = 0;
  std::vector<uint64_t> deferred;
};

struct Entry {
  CacheView cache;
  std::vector<LoadView> loads;
  std::vector<CircuitBreaker> breakers;
  RetryBudget retries;
  ToolTimes tools;
  double expected_output = 150;
  /// Histories of the programs under way, and those that wait to start.
  double live_tokens = 0;
  CallQueue waiting;
  WorkingSetGate gate;
  uint64_t round_robin = 0;
};

class Simulation {
 public:
  Simulation(const Deployment& deployment, const Scenario& scenario,
             const std::vector<ProgramShape>& shapes, const PolicyParts& parts,
             uint64_t seed)
      : deployment_(deployment),
        scenario_(scenario),
        shapes_(shapes),
        parts_(parts),
        random_(seed),
        programs_(shapes.size()),
        workspace_tokens_(deployment.workspaces) {
    if (scenario.tight_memory) deployment_.cache_tokens /= 2;
    CallQueueOptions options;
    options.fair = parts.fair_queue;
    options.ageing_tokens_per_ms = parts.ageing_tokens_per_ms;
    for (uint32_t i = 0; i < deployment.engines; ++i) {
      sidecars_.push_back(
          std::make_unique<Sidecar>(deployment_, Ideal(), options));
      sidecars_.back()->events.resize(deployment.entries);
    }
    entries_.resize(deployment.entries);
    for (Entry& entry : entries_) {
      entry.loads.resize(deployment.engines);
      entry.gate = MakeGate(deployment_.cache_tokens * deployment.engines /
                            deployment.entries);
      entry.breakers.resize(deployment.engines);
      for (LoadView& load : entry.loads) load.report = ReportOf(0);
    }
  }

  RunResult Run();

 private:
  bool Ideal() const { return parts_.place == PlaceBy::kOracle; }
  void Add(Ms at, EventKind kind, uint64_t a = 0, uint64_t b = 0) {
    events_.push({at, order_++, kind, a, b});
  }
  Entry& EntryOf(uint32_t program) {
    return entries_[program % entries_.size()];
  }
  double Unit() { return std::uniform_real_distribution<double>()(random_); }

  void Handle(const Event& event);
  bool MayStart(const Entry& entry) const {
    return !parts_.working_set ||
           MayStartProgram(entry.gate, entry.live_tokens);
  }
  void WaitToStart(uint32_t program, Entry& entry);
  void StartWaiting(Entry& entry);
  void StartTurn(uint32_t program);
  void Dispatch(uint64_t id);
  uint32_t Place(const Call& call, Entry& entry);
  uint32_t PlaceByFinish(const Call& call, Entry& entry);
  void FillViews(const Call& call, Entry& entry);
  void MaybeMoveCache(uint64_t id, Entry& entry);
  void AtSidecar(uint64_t id);
  bool Admit(uint64_t id, Sidecar& sidecar);
  void Enqueue(uint64_t id, Sidecar& sidecar);
  void StartCalls(uint32_t upstream);
  void Start(uint64_t id, Sidecar& sidecar, uint32_t upstream);
  void ScheduleStep(uint32_t upstream);
  void EngineStep(uint32_t upstream);
  void Finish(const EngineCall& done, uint32_t upstream);
  void PauseOrEnd(uint32_t program, uint32_t upstream);
  void EndProgram(uint32_t program, bool failed);
  void PinHistory(uint32_t program, uint32_t upstream);
  void RenewPins();
  void Fail(uint64_t id, ErrorCode code, RunState run);
  void Crash(uint32_t upstream, Ms down_for);
  void Heartbeat();
  void PublishEvictions(uint32_t upstream);
  void ApplyCacheEvent(uint32_t upstream, uint64_t key);
  LoadReport ReportOf(uint32_t upstream);
  std::vector<PrefixPart> PartsOf(uint32_t program, uint64_t history) const;
  uint64_t ExpectedCached(const Call& call, Entry& entry, uint32_t upstream);
  uint64_t ServiceCost(uint64_t prefill, double output) const {
    return static_cast<uint64_t>(
        static_cast<double>(prefill) / kPrefillPerService + output);
  }
  QuarantineVerdict VerdictOf(uint64_t id) {
    if (!parts_.quarantine) return QuarantineVerdict::kClear;
    return quarantine_.VerdictOf(calls_[id].program + 1, now_);
  }
  bool RunsSuspect(const Sidecar& sidecar) {
    return std::any_of(sidecar.engine.running().begin(),
                       sidecar.engine.running().end(), [&](const auto& it) {
                         return VerdictOf(it.id) != QuarantineVerdict::kClear;
                       });
  }

  Deployment deployment_;
  Scenario scenario_;
  const std::vector<ProgramShape>& shapes_;
  PolicyParts parts_;
  std::mt19937_64 random_;
  std::vector<Program> programs_;
  std::vector<Call> calls_;
  std::vector<std::unique_ptr<Sidecar>> sidecars_;
  std::vector<Entry> entries_;
  std::vector<double> workspace_tokens_;
  std::vector<UpstreamView> views_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  Quarantine quarantine_;
  RunResult result_;
  Ms now_;
  uint64_t order_ = 0;
  size_t open_ = 0;
  uint64_t heartbeats_ = 0;
};

RunResult Simulation::Run() {
  for (size_t i = 0; i < shapes_.size(); ++i) {
    programs_[i].history = shapes_[i].base_tokens;
    if (shapes_[i].parent >= 0) continue;
    ++open_;
    Add(shapes_[i].arrives, EventKind::kArrive, i);
  }
  const Ms third = scenario_.length / 3;
  if (scenario_.slow_engine) Add(third, EventKind::kSlowDown, 1);
  if (scenario_.dead_engine) Add(third, EventKind::kCrash, 1);
  Add(kHeartbeat, EventKind::kHeartbeat);
  const Ms end = scenario_.length * 2;
  while (open_ > 0 && !events_.empty() && events_.top().at < end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    Handle(event);
  }
  // What hasn't ended by now counts as if it ended now.
  for (uint32_t i = 0; i < programs_.size(); ++i) {
    if (shapes_[i].parent < 0 && !programs_[i].done) EndProgram(i, true);
  }
  return result_;
}

void Simulation::Handle(const Event& event) {
  const auto a = static_cast<uint32_t>(event.a);
  switch (event.kind) {
    case EventKind::kArrive:
    case EventKind::kNextTurn:
      return StartTurn(a);
    case EventKind::kDispatch:
      return Dispatch(event.a);
    case EventKind::kAtSidecar:
      return AtSidecar(event.a);
    case EventKind::kEngineStep:
      if (sidecars_[a]->version == event.b) EngineStep(a);
      return;
    case EventKind::kHeartbeat:
      return Heartbeat();
    case EventKind::kCacheEvent:
      return ApplyCacheEvent(a, event.b);
    case EventKind::kCrash:
      return Crash(a, scenario_.length / 3);
    case EventKind::kRestart:
      sidecars_[a]->up = true;
      return;
    case EventKind::kSlowDown:
      sidecars_[a]->engine.Advance(now_);
      sidecars_[a]->engine.SetSpeed(0.5);
      return ScheduleStep(a);
  }
}

std::vector<PrefixPart> Simulation::PartsOf(uint32_t program,
                                            uint64_t history) const {
  const ProgramShape& shape = shapes_[program];
  std::vector<PrefixPart> parts;
  parts.push_back({kSharedKey + shape.workspace, deployment_.shared_tokens});
  if (shape.parent >= 0) {
    parts.push_back({static_cast<uint64_t>(shape.parent),
                     shape.base_tokens - deployment_.shared_tokens});
  }
  if (history > shape.base_tokens) {
    parts.push_back({program, history - shape.base_tokens});
  }
  return parts;
}

void Simulation::StartWaiting(Entry& entry) {
  while (entry.waiting.size() > 0 && MayStart(entry)) {
    StartTurn(static_cast<uint32_t>(entry.waiting.Pop(now_)->ticket));
  }
}

/// Programs that wait to start are taken in the same fair order as calls.
void Simulation::WaitToStart(uint32_t program, Entry& entry) {
  QueuedCall queued;
  queued.ticket = program;
  queued.workspace_hash = shapes_[program].workspace;
  queued.weight = WeightOf(queued.workspace_hash);
  queued.cost_tokens = 1000;
  queued.queued_at = now_;
  entry.waiting.Push(queued);
}

void Simulation::StartTurn(uint32_t program) {
  Program& state = programs_[program];
  Entry& entry = EntryOf(program);
  if (state.turn == 0 && !state.started) {
    if (shapes_[program].parent < 0 && !MayStart(entry)) {
      return WaitToStart(program, entry);
    }
    state.started = true;
    entry.live_tokens += static_cast<double>(state.history);
  }
  const Turn& turn = shapes_[program].turns[state.turn];
  if (state.turn > 0) {
    RecordToolTime(EntryOf(program).tools, now_ - state.paused_at);
  }
  Call call;
  call.program = program;
  call.prompt = state.history + turn.new_tokens;
  call.deadline = now_ + kAllowance;
  calls_.push_back(call);
  ++result_.calls;
  EarnRetry(EntryOf(program).retries);
  Dispatch(calls_.size() - 1);
}

uint64_t Simulation::ExpectedCached(const Call& call, Entry& entry,
                                    uint32_t upstream) {
  const ProgramShape& shape = shapes_[call.program];
  const uint64_t shared = deployment_.shared_tokens;
  uint64_t tokens = entry.cache.ExpectedTokens(call.program, upstream);
  if (tokens == 0 && shape.parent >= 0) {
    const auto parent = static_cast<uint64_t>(shape.parent);
    tokens = std::min<uint64_t>(EntryOf(static_cast<uint32_t>(parent))
                                    .cache.ExpectedTokens(parent, upstream),
                                shape.base_tokens);
  }
  return std::max(tokens, shared);
}

void Simulation::FillViews(const Call& call, Entry& entry) {
  views_.resize(sidecars_.size());
  for (uint32_t i = 0; i < views_.size(); ++i) {
    UpstreamView& view = views_[i];
    view.index = i;
    view.domain = i % deployment_.domains;
    view.batch_slowdown = deployment_.batch_slowdown;
    view.cached_tokens = ExpectedCached(call, entry, i);
    view.usable = !parts_.breaker || WouldAllowCall(entry.breakers[i], now_);
    FillLoad(entry.loads[i], now_, view);
  }
}

uint32_t Simulation::PlaceByFinish(const Call& call, Entry& entry) {
  FillViews(call, entry);
  const ProgramShape& shape = shapes_[call.program];
  PlacementCall ask;
  ask.prompt_tokens = call.prompt;
  ask.expected_output_tokens = static_cast<uint64_t>(entry.expected_output);
  ask.domain = (call.program % deployment_.entries) % deployment_.domains;
  ask.home = programs_[call.program].home;
  if (ask.home == kNoUpstream && shape.parent >= 0) {
    ask.home = programs_[static_cast<uint32_t>(shape.parent)].home;
  }
  ask.random = random_();
  return PlaceCall(ask, views_, parts_.placement).index;
}

uint32_t Simulation::Place(const Call& call, Entry& entry) {
  const auto n = static_cast<uint32_t>(sidecars_.size());
  const ProgramShape& shape = shapes_[call.program];
  const auto usable = [&](uint32_t i) {
    return !parts_.breaker || WouldAllowCall(entry.breakers[i], now_);
  };
  switch (parts_.place) {
    case PlaceBy::kExpectedFinish:
      return PlaceByFinish(call, entry);
    case PlaceBy::kRoundRobin:
    case PlaceBy::kAffinity: {
      // Sub-agents go where their root goes.
      const uint64_t root =
          shape.parent < 0 ? call.program : static_cast<uint64_t>(shape.parent);
      uint64_t it = parts_.place == PlaceBy::kAffinity
                        ? (root * 0x9E3779B97F4A7C15ULL) >> 32
                        : entry.round_robin++;
      for (uint32_t i = 0; i < n && !usable(it % n); ++i) ++it;
      return static_cast<uint32_t>(it % n);
    }
    case PlaceBy::kLeastLoad:
    case PlaceBy::kOracle: {
      FillViews(call, entry);
      uint32_t best = kNoUpstream;
      for (uint32_t i = 0; i < n; ++i) {
        if (Ideal()) {
          views_[i].running =
              static_cast<uint32_t>(sidecars_[i]->engine.running().size());
        }
        const auto load = [&](uint32_t k) {
          return views_[k].running + (Ideal() ? 0 : views_[k].queued);
        };
        const bool ok = Ideal() ? sidecars_[i]->up : views_[i].usable;
        if (ok && (best == kNoUpstream || load(i) < load(best))) best = i;
      }
      return best;
    }
  }
  return kNoUpstream;
}

void Simulation::MaybeMoveCache(uint64_t id, Entry& entry) {
  Call& call = calls_[id];
  const uint32_t home = programs_[call.program].home;
  call.moved = false;
  if (home == kNoUpstream || home == call.upstream) return;
  if (!views_[home].usable) return;
  CacheMoveCall ask;
  ask.cached_tokens = ExpectedCached(call, entry, home);
  PlacementCall plain;
  plain.prompt_tokens = call.prompt;
  ask.home_wait =
      Ms{std::llround(EstimateFinish(plain, views_[home]).wait_s * 1000)};
  ask.other_wait = Ms{
      std::llround(EstimateFinish(plain, views_[call.upstream]).wait_s * 1000)};
  ask.other_prefill_tokens_per_s = views_[call.upstream].prefill_tokens_per_s;
  ask.bytes_per_token = kBytesPerToken;
  ask.link_bytes_per_s = kLinkBytesPerS;
  ask.transfer_setup = kTransferSetup;
  const CacheMoveDecision decision = DecideCacheMove(ask);
  if (decision.move == CacheMove::kStay) call.upstream = home;
  if (decision.move != CacheMove::kTransfer) return;
  call.moved = true;
  call.moved_from = home;
  ++result_.cache_moves;
}

void Simulation::Dispatch(uint64_t id) {
  Call& call = calls_[id];
  Entry& entry = EntryOf(call.program);
  if (VerdictOf(id) == QuarantineVerdict::kQuarantined) {
    return EndProgram(call.program, true);
  }
  call.upstream = Place(call, entry);
  if (call.upstream == kNoUpstream) {
    return Fail(id, ErrorCode::kNoUpstream, RunState::kNotRun);
  }
  if (parts_.place == PlaceBy::kExpectedFinish && parts_.cache_moves) {
    MaybeMoveCache(id, entry);
  }
  if (parts_.breaker) AllowCall(entry.breakers[call.upstream], now_);
  if (parts_.own_dispatches) {
    const uint64_t cached =
        std::min(ExpectedCached(call, entry, call.upstream), call.prompt);
    AddOwnDispatch(entry.loads[call.upstream],
                   {now_, static_cast<uint32_t>(call.prompt - cached),
                    static_cast<uint32_t>(entry.expected_output)});
  }
  Ms delay = kHop;
  if (call.moved) {
    const double bytes = static_cast<double>(call.prompt * kBytesPerToken);
    delay += kTransferSetup + Ms{std::llround(bytes / kLinkBytesPerS * 1000)};
  }
  Add(now_ + delay, EventKind::kAtSidecar, id);
}

bool Simulation::Admit(uint64_t id, Sidecar& sidecar) {
  const Call& call = calls_[id];
  const uint32_t workspace = shapes_[call.program].workspace;
  const double per_s =
      deployment_.slots * sidecar.engine.LoneDecodeRate() /
      (1 + deployment_.batch_slowdown * (deployment_.slots - 1));
  AdmissionCall ask;
  ask.now = now_;
  ask.deadline = call.deadline;
  ask.expected_wait =
      Ms{std::llround(1000.0 *
                      static_cast<double>(sidecar.queue.TokensAhead(
                          workspace, WeightOf(workspace))) /
                      per_s)};
  ask.expected_service = Seconds(5);
  ask.queued_calls = sidecar.queue.size();
  const AdmissionDecision decision = DecideAdmission(ask);
  if (decision.admit) return true;
  if (static_cast<int32_t>(workspace) != scenario_.flooding) {
    ++result_.refusals;
  }
  calls_[id].deadline = now_ + decision.retry_after + kAllowance;
  Add(now_ + std::max(decision.retry_after, Ms{1000}), EventKind::kDispatch,
      id);
  return false;
}

void Simulation::AtSidecar(uint64_t id) {
  Call& call = calls_[id];
  Sidecar& sidecar = *sidecars_[call.upstream];
  if (!sidecar.up) {
    return Fail(id, ErrorCode::kUpstreamFailed, RunState::kNotRun);
  }
  if (parts_.admission && !Ideal() && !Admit(id, sidecar)) return;
  if (call.moved && sidecars_[call.moved_from]->up) {
    const std::vector<PrefixPart> parts =
        PartsOf(call.program, programs_[call.program].history);
    const uint64_t there = sidecars_[call.moved_from]->engine.Cached(parts);
    if (there >= programs_[call.program].history) {
      sidecar.engine.Store(parts, now_);
    }
  }
  call.queued_at = now_;
  Enqueue(id, sidecar);
  StartCalls(call.upstream);
}

void Simulation::Enqueue(uint64_t id, Sidecar& sidecar) {
  const Call& call = calls_[id];
  const uint64_t cached =
      sidecar.engine.Cached(PartsOf(call.program, call.prompt));
  QueuedCall queued;
  queued.ticket = id;
  queued.workspace_hash = shapes_[call.program].workspace;
  queued.weight = WeightOf(queued.workspace_hash);
  queued.program_hash = call.program;
  if (parts_.attained_service) {
    queued.attained_tokens =
        static_cast<uint64_t>(programs_[call.program].attained);
  }
  queued.workspace_tokens =
      static_cast<uint64_t>(workspace_tokens_[queued.workspace_hash]);
  queued.cost_tokens =
      ServiceCost(call.prompt - cached, EntryOf(call.program).expected_output);
  queued.queued_at = call.queued_at;
  queued.deadline = call.deadline;
  sidecar.queue.Push(queued);
}

void Simulation::StartCalls(uint32_t upstream) {
  Sidecar& sidecar = *sidecars_[upstream];
  while (sidecar.queue.size() > 0 &&
         sidecar.engine.HasRoom(deployment_.cache_tokens / 64)) {
    const uint64_t id = sidecar.queue.Pop(now_)->ticket;
    const bool suspect = VerdictOf(id) != QuarantineVerdict::kClear;
    if (suspect && RunsSuspect(sidecar)) {
      sidecar.deferred.push_back(id);
      continue;
    }
    Start(id, sidecar, upstream);
  }
  ScheduleStep(upstream);
}

void Simulation::Start(uint64_t id, Sidecar& sidecar, uint32_t upstream) {
  const Call& call = calls_[id];
  const Program& program = programs_[call.program];
  result_.queue_s += (now_ - call.queued_at).Seconds();
  EngineCall work;
  work.id = id;
  work.parts = PartsOf(call.program, program.history);
  work.decode_left = shapes_[call.program].turns[program.turn].output_tokens;
  sidecar.engine.Start(std::move(work), call.prompt, now_);
  const uint64_t cached = sidecar.engine.running().back().cached_tokens;
  result_.cacheable_tokens += static_cast<double>(program.history);
  result_.recomputed_tokens += static_cast<double>(program.history - cached);
  if (shapes_[call.program].crashing && program.turn == 0 && !Ideal()) {
    ++result_.crashes;
    Add(now_ + kCrashAfter, EventKind::kCrash, upstream);
  }
}

void Simulation::ScheduleStep(uint32_t upstream) {
  Sidecar& sidecar = *sidecars_[upstream];
  ++sidecar.version;
  if (sidecar.engine.running().empty()) return;
  Add(sidecar.engine.NextEvent(), EventKind::kEngineStep, upstream,
      sidecar.version);
}

void Simulation::EngineStep(uint32_t upstream) {
  Sidecar& sidecar = *sidecars_[upstream];
  sidecar.engine.Advance(now_);
  const std::vector<EngineCall> done = sidecar.engine.TakeDone();
  for (const EngineCall& call : done) Finish(call, upstream);
  PublishEvictions(upstream);
  if (!done.empty()) {
    for (uint64_t id : std::exchange(sidecar.deferred, {})) {
      Enqueue(id, sidecar);
    }
  }
  StartCalls(upstream);
}

void Simulation::Finish(const EngineCall& done, uint32_t upstream) {
  const Call& call = calls_[done.id];
  Sidecar& sidecar = *sidecars_[upstream];
  Entry& entry = EntryOf(call.program);
  Program& program = programs_[call.program];
  const ProgramShape& shape = shapes_[call.program];
  const uint32_t output = shape.turns[program.turn].output_tokens;
  const auto fresh = static_cast<double>(call.prompt - done.cached_tokens);
  const uint64_t service =
      ServiceCost(call.prompt - done.cached_tokens, output);
  const uint64_t cacheable = program.history;
  entry.live_tokens +=
      static_cast<double>(call.prompt + output - program.history);
  program.history = call.prompt + output;
  program.attained += static_cast<double>(service);
  workspace_tokens_[shape.workspace] += static_cast<double>(service);
  const auto expected =
      static_cast<int64_t>(fresh / kPrefillPerService + entry.expected_output);
  sidecar.queue.Settle(shape.workspace, WeightOf(shape.workspace),
                       static_cast<int64_t>(service) - expected);
  sidecar.engine.Store(PartsOf(call.program, program.history), now_);
  entry.expected_output += 0.01 * (output - entry.expected_output);
  if (program.turn > 0) {
    RecordAnswer(entry.gate, cacheable, done.cached_tokens, entry.live_tokens,
                 now_);
  }
  entry.cache.Record(
      {call.program, upstream, call.prompt, done.cached_tokens, output}, now_);
  FoldReport(entry.loads[upstream], ReportOf(upstream));
  RecordSuccess(entry.breakers[upstream]);
  program.home = upstream;
  PauseOrEnd(call.program, upstream);
  StartWaiting(entry);
}

void Simulation::PauseOrEnd(uint32_t index, uint32_t upstream) {
  Program& program = programs_[index];
  const ProgramShape& shape = shapes_[index];
  const Turn& turn = shape.turns[program.turn];
  const uint64_t digest = DigestOf(turn);
  const bool looping = IsLooping(program.loop, digest, 3);
  ++program.turn;
  program.paused_at = now_;
  if (parts_.loop_detection && looping) return EndProgram(index, false);
  if (program.turn >= shape.turns.size()) return EndProgram(index, false);
  PinHistory(index, upstream);
  if (turn.sub_agent >= 0) {
    Add(now_, EventKind::kArrive, static_cast<uint64_t>(turn.sub_agent));
  } else {
    Add(now_ + turn.tool_time, EventKind::kNextTurn, index);
  }
}

void Simulation::PinHistory(uint32_t index, uint32_t upstream) {
  if (!parts_.pins || Ideal()) return;
  Sidecar& sidecar = *sidecars_[upstream];
  const Entry& entry = EntryOf(index);
  EngineMemory memory;
  memory.capacity_tokens = deployment_.cache_tokens;
  memory.pinned_tokens = sidecar.engine.PinnedTokens(now_);
  memory.refill_tokens_per_s = sidecar.refill_per_s;
  memory.prefill_tokens_per_s = sidecar.engine.PrefillRate();
  PinCall ask;
  ask.tokens = programs_[index].history;
  ask.expected_remaining =
      ExpectedRemaining(entry.tools, now_ - programs_[index].paused_at);
  const PinDecision decision = DecidePin(ask, memory);
  if (decision.pin) sidecar.engine.Pin(index, now_, now_ + decision.lease);
}

void Simulation::EndProgram(uint32_t index, bool failed) {
  Program& program = programs_[index];
  if (program.done) return;
  program.done = true;
  const ProgramShape& shape = shapes_[index];
  Entry& entry = EntryOf(index);
  entry.cache.ForgetProgram(index);
  if (program.started) {
    entry.live_tokens -= static_cast<double>(program.history);
  }
  StartWaiting(entry);
  if (program.home != kNoUpstream && parts_.release) {
    sidecars_[program.home]->engine.Unpin(index, now_, true);
  }
  if (shape.parent >= 0) {
    Add(now_, EventKind::kNextTurn, static_cast<uint64_t>(shape.parent));
    return;
  }
  --open_;
  result_.programs.push_back({shape.workspace, (now_ - shape.arrives).Seconds(),
                              failed, shape.looping || shape.crashing});
}

void Simulation::Fail(uint64_t id, ErrorCode code, RunState run) {
  Call& call = calls_[id];
  Entry& entry = EntryOf(call.program);
  if (call.upstream != kNoUpstream) {
    RecordFailure(entry.breakers[call.upstream], now_, Unit());
  }
  FailedAttempt attempt;
  attempt.code = code;
  attempt.run = run;
  attempt.idempotent = true;
  attempt.attempts = call.attempts;
  attempt.deadline = call.deadline;
  const RetryDecision decision =
      DecideRetry(entry.retries, attempt, now_, Unit());
  ++call.attempts;
  if (parts_.retry && decision.retry) {
    return Add(now_ + decision.wait, EventKind::kDispatch, id);
  }
  // The caller sends the request again by itself.
  call.attempts = 1;
  call.deadline = now_ + Seconds(5) + kAllowance;
  Add(now_ + Seconds(5), EventKind::kDispatch, id);
}

void Simulation::Crash(uint32_t upstream, Ms down_for) {
  Sidecar& sidecar = *sidecars_[upstream];
  if (!sidecar.up) return;
  std::vector<uint64_t> lost;
  for (const EngineCall& it : sidecar.engine.running()) {
    lost.push_back(it.id);
    quarantine_.Merge({calls_[it.id].program + uint64_t{1}, upstream, now_});
  }
  while (std::optional<QueuedCall> it = sidecar.queue.Pop(now_)) {
    lost.push_back(it->ticket);
  }
  for (uint64_t id : std::exchange(sidecar.deferred, {})) lost.push_back(id);
  sidecar.engine.Crash();
  sidecar.up = false;
  ++sidecar.version;
  const bool planned = scenario_.dead_engine;
  Add(now_ + (planned ? down_for : kRestart), EventKind::kRestart, upstream);
  for (Entry& entry : entries_) entry.cache.ForgetUpstream(upstream);
  for (uint64_t id : lost) {
    Fail(id, ErrorCode::kUpstreamFailed, RunState::kUnknown);
  }
}

LoadReport Simulation::ReportOf(uint32_t upstream) {
  Sidecar& sidecar = *sidecars_[upstream];
  LoadReport report;
  report.as_of = now_;
  report.running = static_cast<uint32_t>(sidecar.engine.running().size());
  report.queued = static_cast<uint32_t>(sidecar.queue.size());
  report.slots = deployment_.slots;
  report.prefill_tokens_per_s = sidecar.engine.PrefillRate();
  report.decode_tokens_per_s = sidecar.engine.LoneDecodeRate();
  double prefill = 0;
  for (const EngineCall& call : sidecar.engine.running()) {
    prefill += std::max(call.prefill_left, 0.0);
  }
  report.queued_prefill_tokens = static_cast<uint64_t>(prefill);
  // Answers end at a random point of their length: half of it is left.
  const double half = 75.0 * report.running;
  report.queued_decode_tokens =
      static_cast<uint64_t>(half) + sidecar.queue.queued_tokens();
  return report;
}

void Simulation::Heartbeat() {
  for (uint32_t i = 0; i < sidecars_.size(); ++i) {
    Sidecar& sidecar = *sidecars_[i];
    const double refilled = sidecar.engine.TakeRefilled();
    sidecar.refill_per_s +=
        0.1 * (refilled / kHeartbeat.Seconds() - sidecar.refill_per_s);
    if (!sidecar.up) continue;
    const LoadReport report = ReportOf(i);
    for (Entry& entry : entries_) FoldReport(entry.loads[i], report);
  }
  double live = 0;
  for (const Program& it : programs_) {
    if (it.turn > 0 && !it.done) live += static_cast<double>(it.history);
  }
  ++heartbeats_;
  result_.live_tokens +=
      (live - result_.live_tokens) / static_cast<double>(heartbeats_);
  RenewPins();
  Add(now_ + kHeartbeat, EventKind::kHeartbeat);
}

/// Owners renew the pins of the programs that still wait, every ten heartbeats.
void Simulation::RenewPins() {
  if (!parts_.pins || now_.count % (10 * kHeartbeat.count) != 0) return;
  for (uint32_t i = 0; i < programs_.size(); ++i) {
    const Program& program = programs_[i];
    const bool waits = program.turn > 0 && !program.done;
    if (waits && program.home != kNoUpstream) PinHistory(i, program.home);
  }
}

void Simulation::PublishEvictions(uint32_t upstream) {
  Sidecar& sidecar = *sidecars_[upstream];
  for (uint64_t key : sidecar.engine.TakeEvicted()) {
    if (!parts_.cache_events || key >= kSharedKey) continue;
    const uint64_t sequence = ++sidecar.events[key % entries_.size()];
    // Late events also come with gaps: one in five is lost.
    if (scenario_.late_events && Unit() < 0.2) continue;
    const Ms late = scenario_.late_events ? kLateEvents : Ms{200};
    Add(now_ + late, EventKind::kCacheEvent, upstream,
        (sequence << kKeyBits) | key);
  }
}

void Simulation::ApplyCacheEvent(uint32_t upstream, uint64_t packed) {
  const Ms late = scenario_.late_events ? kLateEvents : Ms{200};
  const uint64_t key = packed & ((uint64_t{1} << kKeyBits) - 1);
  Entry& entry = EntryOf(static_cast<uint32_t>(key));
  CacheEvent event;
  event.upstream = upstream;
  event.sequence = packed >> kKeyBits;
  event.program_hash = key;
  event.happened_at = now_ - late;
  if (entry.cache.Apply(event) != EventResult::kGap) return;
  std::vector<CacheEvent> listed;
  for (const PrefixPart& part : sidecars_[upstream]->engine.List()) {
    listed.push_back({upstream, 0, part.key, part.tokens, now_});
  }
  entry.cache.Resync(upstream,
                     sidecars_[upstream]->events[key % entries_.size()], now_,
                     listed);
}

}  // namespace

RunResult Run(const Deployment& deployment, const Scenario& scenario,
              const std::vector<ProgramShape>& programs,
              const PolicyParts& parts, uint64_t seed) {
  return Simulation(deployment, scenario, programs, parts, seed).Run();
}

}  // namespace knapweed::rig
