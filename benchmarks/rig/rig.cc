#include "benchmarks/rig/simulation.h"
#include "knapweed/policy/cache_move.h"

namespace knapweed::rig {

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
  AddRetryCredit(EntryOf(program).retries);
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

RunResult Run(const Deployment& deployment, const Scenario& scenario,
              const std::vector<ProgramShape>& programs,
              const PolicyParts& parts, uint64_t seed) {
  return Simulation(deployment, scenario, programs, parts, seed).Run();
}

}  // namespace knapweed::rig
