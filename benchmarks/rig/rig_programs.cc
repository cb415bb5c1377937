#include "benchmarks/rig/simulation.h"

namespace knapweed::rig {

void Simulation::PauseOrEnd(uint32_t index, uint32_t upstream) {
  Program& program = programs_[index];
  const ProgramShape& shape = shapes_[index];
  const Turn& turn = shape.turns[program.turn];
  const uint64_t digest = DigestOf(turn);
  const bool looping = DetectLoop(program.loop, digest, 3);
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
  EngineCacheState memory;
  memory.capacity_tokens = deployment_.cache_tokens;
  memory.pinned_tokens = sidecar.engine.PinnedTokens(now_);
  memory.eviction_tokens_per_s = sidecar.refill_per_s;
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

}  // namespace knapweed::rig
