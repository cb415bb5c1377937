#include "benchmarks/rig/simulation.h"

namespace knapweed::rig {

void Simulation::FinishTurn(uint32_t index, uint32_t upstream) {
  Program& program = programs_[index];
  const ProgramSpec& spec = specs_[index];
  const Turn& turn = spec.turns[program.turn];
  const uint64_t digest = TurnDigest(turn);
  const bool looping = DetectLoop(program.loop, digest, 3);
  ++program.turn;
  program.paused_at = now_;
  if (policy_.loop_detection && looping) return EndProgram(index, false);
  if (program.turn >= spec.turns.size()) return EndProgram(index, false);
  PinHistory(index, upstream);
  if (turn.sub_agent >= 0) {
    Schedule(now_, EventKind::kArrive, static_cast<uint64_t>(turn.sub_agent));
  } else {
    Schedule(now_ + turn.tool_time, EventKind::kNextTurn, index);
  }
}

void Simulation::PinHistory(uint32_t index, uint32_t upstream) {
  if (!policy_.pins || UsesOracle()) return;
  Sidecar& sidecar = *sidecars_[upstream];
  const Entry& entry = EntryOf(index);
  EngineCacheState cache;
  cache.capacity_tokens = deployment_.cache_tokens;
  cache.pinned_tokens = sidecar.engine.PinnedTokens(now_);
  cache.eviction_tokens_per_s = sidecar.eviction_tokens_per_s;
  cache.prefill_tokens_per_s = sidecar.engine.PrefillRate();
  PinCall request;
  request.tokens = programs_[index].history;
  request.expected_remaining =
      ExpectedRemaining(entry.tool_times, now_ - programs_[index].paused_at);
  const PinDecision decision = DecidePin(request, cache);
  if (decision.pin) sidecar.engine.Pin(index, now_, now_ + decision.lease);
}

void Simulation::EndProgram(uint32_t index, bool failed) {
  Program& program = programs_[index];
  if (program.done) return;
  program.done = true;
  const ProgramSpec& spec = specs_[index];
  Entry& entry = EntryOf(index);
  entry.cache.ForgetProgram(index);
  if (program.started) {
    entry.live_tokens -= static_cast<double>(program.history);
  }
  StartWaitingPrograms(entry);
  if (program.home != kNoUpstream && policy_.release_on_end) {
    sidecars_[program.home]->engine.Unpin(index, now_, true);
  }
  if (spec.parent >= 0) {
    Schedule(now_, EventKind::kNextTurn, static_cast<uint64_t>(spec.parent));
    return;
  }
  --unfinished_roots_;
  result_.programs.push_back({spec.workspace,
                              (now_ - spec.arrives_at).Seconds(), failed,
                              spec.looping || spec.crashing});
}

void Simulation::HandleFailure(uint64_t id, ErrorCode code, RunState run) {
  Call& call = calls_[id];
  Entry& entry = EntryOf(call.program);
  if (call.upstream != kNoUpstream) {
    RecordFailure(entry.breakers[call.upstream], now_, RandomUnit());
  }
  FailedAttempt attempt;
  attempt.code = code;
  attempt.run = run;
  attempt.idempotent = true;
  attempt.attempts = call.attempts;
  attempt.deadline = call.deadline;
  const RetryDecision decision =
      DecideRetry(entry.retry_budget, attempt, now_, RandomUnit());
  ++call.attempts;
  if (policy_.retry && decision.retry) {
    return Schedule(now_ + decision.wait, EventKind::kDispatch, id);
  }
  // The error reaches the caller, which sends the request again after 5 s.
  call.attempts = 1;
  call.deadline = now_ + Seconds(5) + kCallTimeout;
  Schedule(now_ + Seconds(5), EventKind::kDispatch, id);
}

void Simulation::Crash(uint32_t upstream, Ms down_for) {
  Sidecar& sidecar = *sidecars_[upstream];
  if (!sidecar.up) return;
  std::vector<uint64_t> aborted;
  for (const EngineCall& it : sidecar.engine.running()) {
    aborted.push_back(it.id);
    quarantine_.Merge({calls_[it.id].program + uint64_t{1}, upstream, now_});
  }
  while (std::optional<QueuedCall> it = sidecar.queue.Pop(now_)) {
    aborted.push_back(it->ticket);
  }
  for (uint64_t id : std::exchange(sidecar.deferred_calls, {}))
    aborted.push_back(id);
  sidecar.engine.Crash();
  sidecar.up = false;
  ++sidecar.step_version;
  const bool outage = scenario_.engine_outage;
  Schedule(now_ + (outage ? down_for : kRestartDelay), EventKind::kRestart,
           upstream);
  for (Entry& entry : entries_) entry.cache.ForgetUpstream(upstream);
  for (uint64_t id : aborted) {
    HandleFailure(id, ErrorCode::kUpstreamFailed, RunState::kUnknown);
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
  report.decode_tokens_per_s = sidecar.engine.SingleDecodeRate();
  double prefill = 0;
  for (const EngineCall& call : sidecar.engine.running()) {
    prefill += std::max(call.prefill_left, 0.0);
  }
  report.queued_prefill_tokens = static_cast<uint64_t>(prefill);
  // On average half of each running answer is left: 75 of the initially
  // expected 150 tokens.
  const double remaining_decode_tokens = 75.0 * report.running;
  report.queued_decode_tokens = static_cast<uint64_t>(remaining_decode_tokens) +
                                sidecar.queue.queued_tokens();
  return report;
}

void Simulation::Heartbeat() {
  for (uint32_t i = 0; i < sidecars_.size(); ++i) {
    Sidecar& sidecar = *sidecars_[i];
    const double stored_tokens = sidecar.engine.TakeTokensStoredWhenFull();
    sidecar.eviction_tokens_per_s +=
        0.1 * (stored_tokens / kHeartbeatInterval.Seconds() -
               sidecar.eviction_tokens_per_s);
    if (!sidecar.up) continue;
    const LoadReport report = ReportOf(i);
    for (Entry& entry : entries_) ApplyLoadReport(entry.loads[i], report);
  }
  double live = 0;
  for (const Program& it : programs_) {
    if (it.turn > 0 && !it.done) live += static_cast<double>(it.history);
  }
  ++heartbeats_;
  result_.live_tokens +=
      (live - result_.live_tokens) / static_cast<double>(heartbeats_);
  RenewPins();
  Schedule(now_ + kHeartbeatInterval, EventKind::kHeartbeat);
}

/// Renews the pins of paused programs every ten heartbeats.
void Simulation::RenewPins() {
  if (!policy_.pins || now_.count % (10 * kHeartbeatInterval.count) != 0)
    return;
  for (uint32_t i = 0; i < programs_.size(); ++i) {
    const Program& program = programs_[i];
    const bool paused = program.turn > 0 && !program.done;
    if (paused && program.home != kNoUpstream) PinHistory(i, program.home);
  }
}

void Simulation::PublishEvictions(uint32_t upstream) {
  Sidecar& sidecar = *sidecars_[upstream];
  for (uint64_t key : sidecar.engine.TakeEvicted()) {
    if (!policy_.cache_events || key >= kSharedPrefixKeyBase) continue;
    const uint64_t sequence = ++sidecar.event_sequences[key % entries_.size()];
    // With late events, one in five is also lost, so that sequences have gaps.
    if (scenario_.late_events && RandomUnit() < 0.2) continue;
    const Ms delay = scenario_.late_events ? kLateEventDelay : Ms{200};
    Schedule(now_ + delay, EventKind::kCacheEvent, upstream,
             (sequence << kProgramBits) | key);
  }
}

void Simulation::ApplyCacheEvent(uint32_t upstream, uint64_t packed) {
  const Ms delay = scenario_.late_events ? kLateEventDelay : Ms{200};
  const uint64_t key = packed & ((uint64_t{1} << kProgramBits) - 1);
  Entry& entry = EntryOf(static_cast<uint32_t>(key));
  CacheEvent event;
  event.upstream = upstream;
  event.sequence = packed >> kProgramBits;
  event.program_hash = key;
  event.happened_at = now_ - delay;
  if (entry.cache.Apply(event) != EventResult::kGap) return;
  std::vector<CacheEvent> snapshot;
  for (const PrefixSegment& segment :
       sidecars_[upstream]->engine.CachedSegments()) {
    snapshot.push_back({upstream, 0, segment.key, segment.tokens, now_});
  }
  entry.cache.Resync(
      upstream, sidecars_[upstream]->event_sequences[key % entries_.size()],
      now_, snapshot);
}

}  // namespace knapweed::rig
