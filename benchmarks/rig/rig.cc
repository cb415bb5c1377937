#include "benchmarks/rig/simulation.h"
#include "knapweed/policy/cache_move.h"

namespace knapweed::rig {

RunResult Simulation::Run() {
  for (size_t i = 0; i < specs_.size(); ++i) {
    programs_[i].history = specs_[i].base_tokens;
    if (specs_[i].parent >= 0) continue;
    ++unfinished_roots_;
    Schedule(specs_[i].arrives_at, EventKind::kArrive, i);
  }
  const Ms third = scenario_.duration / 3;
  if (scenario_.slow_engine) Schedule(third, EventKind::kSlowDown, 1);
  if (scenario_.engine_outage) Schedule(third, EventKind::kCrash, 1);
  Schedule(kHeartbeatInterval, EventKind::kHeartbeat);
  const Ms end = scenario_.duration * 2;
  while (unfinished_roots_ > 0 && !events_.empty() && events_.top().at < end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    HandleEvent(event);
  }
  // Programs that have not ended count as failed, with the time up to now as
  // their latency.
  for (uint32_t i = 0; i < programs_.size(); ++i) {
    if (specs_[i].parent < 0 && !programs_[i].done) EndProgram(i, true);
  }
  return result_;
}

void Simulation::HandleEvent(const Event& event) {
  const auto target = static_cast<uint32_t>(event.target);
  switch (event.kind) {
    case EventKind::kArrive:
    case EventKind::kNextTurn:
      return StartTurn(target);
    case EventKind::kDispatch:
      return Dispatch(event.target);
    case EventKind::kReachSidecar:
      return ReachSidecar(event.target);
    case EventKind::kEngineStep:
      if (sidecars_[target]->step_version == event.payload) EngineStep(target);
      return;
    case EventKind::kHeartbeat:
      return Heartbeat();
    case EventKind::kCacheEvent:
      return ApplyCacheEvent(target, event.payload);
    case EventKind::kCrash:
      return Crash(target, scenario_.duration / 3);
    case EventKind::kRestart:
      sidecars_[target]->up = true;
      return;
    case EventKind::kSlowDown:
      sidecars_[target]->engine.Advance(now_);
      sidecars_[target]->engine.SetSpeed(0.5);
      return ScheduleStep(target);
  }
}

std::vector<PrefixSegment> Simulation::PromptSegments(uint32_t program,
                                                      uint64_t history) const {
  const ProgramSpec& spec = specs_[program];
  std::vector<PrefixSegment> segments;
  segments.push_back(
      {kSharedPrefixKeyBase + spec.workspace, deployment_.shared_tokens});
  if (spec.parent >= 0) {
    segments.push_back({static_cast<uint64_t>(spec.parent),
                        spec.base_tokens - deployment_.shared_tokens});
  }
  if (history > spec.base_tokens) {
    segments.push_back({program, history - spec.base_tokens});
  }
  return segments;
}

void Simulation::StartWaitingPrograms(Entry& entry) {
  while (entry.waiting_programs.size() > 0 && MayStart(entry)) {
    StartTurn(static_cast<uint32_t>(entry.waiting_programs.Pop(now_)->ticket));
  }
}

/// The queue has the same fair order as the queue of calls.
void Simulation::QueueForStart(uint32_t program, Entry& entry) {
  QueuedCall queued;
  queued.ticket = program;
  queued.workspace_hash = specs_[program].workspace;
  queued.weight = WorkspaceWeight(queued.workspace_hash);
  queued.cost_tokens = 1000;
  queued.queued_at = now_;
  entry.waiting_programs.Push(queued);
}

void Simulation::StartTurn(uint32_t program) {
  Program& state = programs_[program];
  Entry& entry = EntryOf(program);
  if (state.turn == 0 && !state.started) {
    if (specs_[program].parent < 0 && !MayStart(entry)) {
      return QueueForStart(program, entry);
    }
    state.started = true;
    entry.live_tokens += static_cast<double>(state.history);
  }
  const Turn& turn = specs_[program].turns[state.turn];
  if (state.turn > 0) {
    RecordToolTime(EntryOf(program).tool_times, now_ - state.paused_at);
  }
  Call call;
  call.program = program;
  call.prompt_tokens = state.history + turn.new_tokens;
  call.deadline = now_ + kCallTimeout;
  calls_.push_back(call);
  ++result_.calls;
  AddRetryCredit(EntryOf(program).retry_budget);
  Dispatch(calls_.size() - 1);
}

uint64_t Simulation::ExpectedCached(const Call& call, Entry& entry,
                                    uint32_t upstream) {
  const ProgramSpec& spec = specs_[call.program];
  const uint64_t shared = deployment_.shared_tokens;
  uint64_t tokens = entry.cache.ExpectedTokens(call.program, upstream);
  if (tokens == 0 && spec.parent >= 0) {
    const auto parent = static_cast<uint64_t>(spec.parent);
    tokens = std::min<uint64_t>(EntryOf(static_cast<uint32_t>(parent))
                                    .cache.ExpectedTokens(parent, upstream),
                                spec.base_tokens);
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
    view.usable = !policy_.breaker || WouldAllowCall(entry.breakers[i], now_);
    FillLoad(entry.loads[i], now_, view);
  }
}

uint32_t Simulation::PlaceByExpectedFinish(const Call& call, Entry& entry) {
  FillViews(call, entry);
  const ProgramSpec& spec = specs_[call.program];
  PlacementCall request;
  request.prompt_tokens = call.prompt_tokens;
  request.expected_output_tokens =
      static_cast<uint64_t>(entry.expected_output_tokens);
  request.domain = (call.program % deployment_.entries) % deployment_.domains;
  request.home = programs_[call.program].home;
  if (request.home == kNoUpstream && spec.parent >= 0) {
    request.home = programs_[static_cast<uint32_t>(spec.parent)].home;
  }
  request.random = random_();
  return PlaceCall(request, views_, policy_.placement).index;
}

uint32_t Simulation::Place(const Call& call, Entry& entry) {
  const auto n = static_cast<uint32_t>(sidecars_.size());
  const ProgramSpec& spec = specs_[call.program];
  const auto usable = [&](uint32_t i) {
    return !policy_.breaker || WouldAllowCall(entry.breakers[i], now_);
  };
  switch (policy_.rule) {
    case PlacementRule::kExpectedFinish:
      return PlaceByExpectedFinish(call, entry);
    case PlacementRule::kRoundRobin:
    case PlacementRule::kAffinity: {
      // Sub-agents use the hash of their root.
      const uint64_t root =
          spec.parent < 0 ? call.program : static_cast<uint64_t>(spec.parent);
      uint64_t it = policy_.rule == PlacementRule::kAffinity
                        ? (root * 0x9E3779B97F4A7C15ULL) >> 32
                        : entry.round_robin++;
      for (uint32_t i = 0; i < n && !usable(it % n); ++i) ++it;
      return static_cast<uint32_t>(it % n);
    }
    case PlacementRule::kLeastLoad:
    case PlacementRule::kOracle: {
      FillViews(call, entry);
      uint32_t best = kNoUpstream;
      for (uint32_t i = 0; i < n; ++i) {
        if (UsesOracle()) {
          views_[i].running =
              static_cast<uint32_t>(sidecars_[i]->engine.running().size());
        }
        const auto load = [&](uint32_t k) {
          return views_[k].running + (UsesOracle() ? 0 : views_[k].queued);
        };
        const bool ok = UsesOracle() ? sidecars_[i]->up : views_[i].usable;
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
  call.cache_transferred = false;
  if (home == kNoUpstream || home == call.upstream) return;
  if (!views_[home].usable) return;
  CacheMoveCall request;
  request.cached_tokens = ExpectedCached(call, entry, home);
  PlacementCall estimate_request;
  estimate_request.prompt_tokens = call.prompt_tokens;
  request.home_wait = Ms{std::llround(
      EstimateFinish(estimate_request, views_[home]).wait_s * 1000)};
  request.other_wait = Ms{std::llround(
      EstimateFinish(estimate_request, views_[call.upstream]).wait_s * 1000)};
  request.other_prefill_tokens_per_s =
      views_[call.upstream].prefill_tokens_per_s;
  request.bytes_per_token = kBytesPerToken;
  request.link_bytes_per_s = kLinkBytesPerS;
  request.transfer_setup = kTransferSetup;
  const CacheMoveDecision decision = DecideCacheMove(request);
  if (decision.move == CacheMove::kStay) call.upstream = home;
  if (decision.move != CacheMove::kTransfer) return;
  call.cache_transferred = true;
  call.transfer_source = home;
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
    return HandleFailure(id, ErrorCode::kNoUpstream, RunState::kNotRun);
  }
  if (policy_.rule == PlacementRule::kExpectedFinish && policy_.cache_moves) {
    MaybeMoveCache(id, entry);
  }
  if (policy_.breaker) AllowCall(entry.breakers[call.upstream], now_);
  if (policy_.own_dispatches) {
    const uint64_t cached = std::min(ExpectedCached(call, entry, call.upstream),
                                     call.prompt_tokens);
    AddOwnDispatch(entry.loads[call.upstream],
                   {now_, static_cast<uint32_t>(call.prompt_tokens - cached),
                    static_cast<uint32_t>(entry.expected_output_tokens)});
  }
  Ms delay = kHopDelay;
  if (call.cache_transferred) {
    const double bytes =
        static_cast<double>(call.prompt_tokens * kBytesPerToken);
    delay += kTransferSetup + Ms{std::llround(bytes / kLinkBytesPerS * 1000)};
  }
  Schedule(now_ + delay, EventKind::kReachSidecar, id);
}

RunResult Run(const Deployment& deployment, const Scenario& scenario,
              const std::vector<ProgramSpec>& programs,
              const PolicyConfig& policy, uint64_t seed) {
  return Simulation(deployment, scenario, programs, policy, seed).Run();
}

}  // namespace knapweed::rig
