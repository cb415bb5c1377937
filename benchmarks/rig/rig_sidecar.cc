#include "benchmarks/rig/simulation.h"
#include "knapweed/policy/admission.h"

namespace knapweed::rig {

bool Simulation::Admit(uint64_t id, Sidecar& sidecar) {
  const Call& call = calls_[id];
  const uint32_t workspace = specs_[call.program].workspace;
  const double tokens_per_s =
      deployment_.slots * sidecar.engine.SingleDecodeRate() /
      (1 + deployment_.batch_slowdown * (deployment_.slots - 1));
  AdmissionCall request;
  request.now = now_;
  request.deadline = call.deadline;
  request.expected_wait =
      Ms{std::llround(1000.0 *
                      static_cast<double>(sidecar.queue.TokensAhead(
                          workspace, WorkspaceWeight(workspace))) /
                      tokens_per_s)};
  request.expected_service = Seconds(5);
  request.queued_calls = sidecar.queue.size();
  const AdmissionDecision decision = DecideAdmission(request);
  if (decision.admit) return true;
  if (static_cast<int32_t>(workspace) != scenario_.flooding_workspace) {
    ++result_.refusals;
  }
  calls_[id].deadline = now_ + decision.retry_after + kCallTimeout;
  Schedule(now_ + std::max(decision.retry_after, Ms{1000}),
           EventKind::kDispatch, id);
  return false;
}

void Simulation::ReachSidecar(uint64_t id) {
  Call& call = calls_[id];
  Sidecar& sidecar = *sidecars_[call.upstream];
  if (!sidecar.up) {
    return HandleFailure(id, ErrorCode::kUpstreamFailed, RunState::kNotRun);
  }
  if (policy_.admission && !UsesOracle() && !Admit(id, sidecar)) return;
  if (call.cache_transferred && sidecars_[call.transfer_source]->up) {
    const std::vector<PrefixSegment> segments =
        PromptSegments(call.program, programs_[call.program].history);
    const uint64_t source_tokens =
        sidecars_[call.transfer_source]->engine.CachedTokens(segments);
    if (source_tokens >= programs_[call.program].history) {
      sidecar.engine.Store(segments, now_);
    }
  }
  call.queued_at = now_;
  Enqueue(id, sidecar);
  StartCalls(call.upstream);
}

void Simulation::Enqueue(uint64_t id, Sidecar& sidecar) {
  const Call& call = calls_[id];
  const uint64_t cached = sidecar.engine.CachedTokens(
      PromptSegments(call.program, call.prompt_tokens));
  QueuedCall queued;
  queued.ticket = id;
  queued.workspace_hash = specs_[call.program].workspace;
  queued.weight = WorkspaceWeight(queued.workspace_hash);
  queued.program_hash = call.program;
  if (policy_.attained_service) {
    queued.attained_tokens =
        static_cast<uint64_t>(programs_[call.program].attained_tokens);
  }
  queued.workspace_tokens =
      static_cast<uint64_t>(workspace_tokens_[queued.workspace_hash]);
  queued.cost_tokens =
      ServiceCost(call.prompt_tokens - cached,
                  EntryOf(call.program).expected_output_tokens);
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
    if (suspect && RunsSuspectProgram(sidecar)) {
      sidecar.deferred_calls.push_back(id);
      continue;
    }
    StartOnEngine(id, sidecar, upstream);
  }
  ScheduleStep(upstream);
}

void Simulation::StartOnEngine(uint64_t id, Sidecar& sidecar,
                               uint32_t upstream) {
  const Call& call = calls_[id];
  const Program& program = programs_[call.program];
  result_.queue_wait_s += (now_ - call.queued_at).Seconds();
  EngineCall engine_call;
  engine_call.id = id;
  engine_call.segments = PromptSegments(call.program, program.history);
  engine_call.decode_left =
      specs_[call.program].turns[program.turn].output_tokens;
  sidecar.engine.Start(std::move(engine_call), call.prompt_tokens, now_);
  const uint64_t cached = sidecar.engine.running().back().cached_tokens;
  result_.cacheable_tokens += static_cast<double>(program.history);
  result_.recomputed_tokens += static_cast<double>(program.history - cached);
  if (specs_[call.program].crashing && program.turn == 0 && !UsesOracle()) {
    ++result_.crashes;
    Schedule(now_ + kCrashDelay, EventKind::kCrash, upstream);
  }
}

void Simulation::ScheduleStep(uint32_t upstream) {
  Sidecar& sidecar = *sidecars_[upstream];
  ++sidecar.step_version;
  if (sidecar.engine.running().empty()) return;
  Schedule(sidecar.engine.NextEvent(), EventKind::kEngineStep, upstream,
           sidecar.step_version);
}

void Simulation::EngineStep(uint32_t upstream) {
  Sidecar& sidecar = *sidecars_[upstream];
  sidecar.engine.Advance(now_);
  const std::vector<EngineCall> done = sidecar.engine.TakeCompleted();
  for (const EngineCall& call : done) FinishCall(call, upstream);
  PublishEvictions(upstream);
  if (!done.empty()) {
    for (uint64_t id : std::exchange(sidecar.deferred_calls, {})) {
      Enqueue(id, sidecar);
    }
  }
  StartCalls(upstream);
}

void Simulation::FinishCall(const EngineCall& done, uint32_t upstream) {
  const Call& call = calls_[done.id];
  Sidecar& sidecar = *sidecars_[upstream];
  Entry& entry = EntryOf(call.program);
  Program& program = programs_[call.program];
  const ProgramSpec& spec = specs_[call.program];
  const uint32_t output = spec.turns[program.turn].output_tokens;
  const auto uncached_tokens =
      static_cast<double>(call.prompt_tokens - done.cached_tokens);
  const uint64_t service =
      ServiceCost(call.prompt_tokens - done.cached_tokens, output);
  const uint64_t cacheable = program.history;
  entry.live_tokens +=
      static_cast<double>(call.prompt_tokens + output - program.history);
  program.history = call.prompt_tokens + output;
  program.attained_tokens += static_cast<double>(service);
  workspace_tokens_[spec.workspace] += static_cast<double>(service);
  const auto expected =
      static_cast<int64_t>(uncached_tokens / kPrefillTokensPerServiceToken +
                           entry.expected_output_tokens);
  sidecar.queue.Settle(spec.workspace, WorkspaceWeight(spec.workspace),
                       static_cast<int64_t>(service) - expected);
  sidecar.engine.Store(PromptSegments(call.program, program.history), now_);
  entry.expected_output_tokens +=
      0.01 * (output - entry.expected_output_tokens);
  if (program.turn > 0) {
    UpdateWorkingSetGate(entry.gate, cacheable, done.cached_tokens,
                         entry.live_tokens, now_);
  }
  entry.cache.Record(
      {call.program, upstream, call.prompt_tokens, done.cached_tokens, output},
      now_);
  ApplyLoadReport(entry.loads[upstream], ReportOf(upstream));
  RecordSuccess(entry.breakers[upstream]);
  program.home = upstream;
  FinishTurn(call.program, upstream);
  StartWaitingPrograms(entry);
}

}  // namespace knapweed::rig
