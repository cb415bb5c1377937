#include "benchmarks/rig/simulation.h"
#include "knapweed/policy/admission.h"

namespace knapweed::rig {

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
    UpdateWorkingSetGate(entry.gate, cacheable, done.cached_tokens,
                         entry.live_tokens, now_);
  }
  entry.cache.Record(
      {call.program, upstream, call.prompt, done.cached_tokens, output}, now_);
  ApplyLoadReport(entry.loads[upstream], ReportOf(upstream));
  RecordSuccess(entry.breakers[upstream]);
  program.home = upstream;
  PauseOrEnd(call.program, upstream);
  StartWaiting(entry);
}

}  // namespace knapweed::rig
