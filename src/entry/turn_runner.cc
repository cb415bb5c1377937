#include "knapweed/entry/turn_runner.h"

#include <memory>
#include <optional>
#include <utility>
#include <variant>

#include "knapweed/base/log.h"
#include "knapweed/entry/caller_api.h"
#include "turn.h"

namespace knapweed {
namespace {

constexpr Logger kLog("turn");
constexpr Ms kResolvePollInterval = Ms{200};
/// AttemptReply.state of an attempt that has not ended.
constexpr uint8_t kAttemptRunning = 3;

ProgramBudget BudgetOf(const Rules& rules, const WorkspaceId& workspace) {
  const BudgetRule* rule = FindBudget(rules, workspace);
  if (rule == nullptr) return {};
  return {rule->tokens, rule->turns, rule->time};
}

double WeightOf(const Rules& rules, const WorkspaceId& workspace) {
  const WorkspaceRule* rule = FindWorkspace(rules, workspace);
  return rule == nullptr ? 1.0 : rule->weight;
}

CallOutcome ToOutcome(const wire::ResultT& result) {
  CallOutcome outcome;
  outcome.status = result.status;
  outcome.body = result.body;
  outcome.prompt_tokens = result.prompt_tokens;
  outcome.completion_tokens = result.completion_tokens;
  outcome.run = RunState::kRan;
  if (result.failure != nullptr) {
    outcome.error = ToCallError(*result.failure);
    outcome.run = outcome.error.run;
  }
  return outcome;
}

wire::ResultT ToResult(const CallOutcome& outcome) {
  if (outcome.run != RunState::kRan) return FailureResult(outcome.error);
  wire::ResultT result;
  result.status = outcome.status;
  result.body = outcome.body;
  result.prompt_tokens = outcome.prompt_tokens;
  result.completion_tokens = outcome.completion_tokens;
  return result;
}
}  // namespace

wire::ResultT TurnRunner::Run(const wire::CallT& call, const ChunkSink& sink) {
  Turn turn(call, sink);
  turn.key = {WorkspaceId(call.workspace), ProgramId(call.program)};
  turn.program_hash = ProgramHash(turn.key);
  turn.partition = PartitionOf(turn.key, parts_.partition_count);
  turn.deadline = parts_.clock.Now() + Ms{call.deadline_ms};
  if (!MayServe(turn)) return NotOwnerResult();
  ProgramBudget budget;
  {
    const RulesHolder::ReadGuard rules = parts_.rules.Read();
    const RouteRule* route = FindRoute(*rules, call.route);
    if (route == nullptr) {
      return FailureResult({ErrorCode::kNotFound, RunState::kNotRun, Ms{0},
                            "The route is no longer configured."});
    }
    turn.route = *route;
    turn.weight = WeightOf(*rules, turn.key.workspace);
    budget = BudgetOf(*rules, turn.key.workspace);
  }
  const CallIdentity identity{turn.key, ProgramId(call.parent),
                              call.idempotency_key, DigestOf(call)};
  BeginResult begun = parts_.programs.Begin(identity, budget, turn.deadline);
  if (const auto* error = std::get_if<CallError>(&begun)) {
    return FailureResult(*error);
  }
  if (const auto* outcome = std::get_if<CallOutcome>(&begun)) {
    parts_.metrics.GetCounter("turn.repeated").Add();
    return ToResult(*outcome);
  }
  return RunTurn(turn, std::get<TurnHold>(std::move(begun)));
}

bool TurnRunner::MayServe(const Turn& turn) const {
  const std::optional<PartitionOwner> owner =
      parts_.membership.OwnerOf(turn.partition);
  if (!owner.has_value()) return false;
  return owner->self ||
         (owner->self_lease_expired && parts_.contact.InOutage());
}

wire::ResultT TurnRunner::RunTurn(Turn& turn, TurnHold hold) {
  if (hold.open_intent() != nullptr) {
    wire::ResultT resolved;
    switch (ResolveOpenIntent(turn, hold, &resolved)) {
      case Resolution::kResolved:
        return Finish(turn, std::move(hold), std::move(resolved));
      case Resolution::kUnresolved:
        return resolved;
      case Resolution::kNeverRan:
        break;
    }
  }
  if (turn.route.kind == RouteKind::kModel) {
    if (!PreparePrompt(turn, hold)) {
      return FailureResult(
          {ErrorCode::kBudgetExhausted, RunState::kNotRun, Ms{0},
           "The program's token budget does not cover this call."});
    }
  } else {
    turn.body = turn.call.body;
  }
  wire::ResultT result = DispatchWithRetries(turn, hold);
  if (!MustRecordOutcome(turn, result)) return result;
  return Finish(turn, std::move(hold), std::move(result));
}

// Builds the engine's request and limits it to the token budget that is left
// for the program's tree. Returns false when the budget does not cover the
// prompt and one token of answer.
bool TurnRunner::PreparePrompt(Turn& turn, TurnHold& hold) {
  turn.request = ReadModelRequest(turn.call.body);
  turn.prompt_tokens = EstimateTokens(hold.history(), turn.request.messages);
  const uint64_t want = turn.prompt_tokens + turn.request.max_tokens;
  const uint64_t reserved = parts_.programs.ReserveTokens(hold, want);
  if (reserved <= turn.prompt_tokens) return false;
  turn.request.max_tokens = reserved - turn.prompt_tokens;
  turn.body = BuildEngineBody(turn.request, hold.history());
  return true;
}

// Returns whether a result is final and must be recorded. A failed idempotent
// call can run again. When the outcome is unknown, the intent stays open in the
// journal, since the sidecar may still obtain the outcome; a re-sent request
// then queries the sidecar for it.
bool TurnRunner::MustRecordOutcome(const Turn& turn,
                                   const wire::ResultT& result) {
  if (result.failure == nullptr) return true;
  if (!turn.route.non_idempotent || !turn.intent_recorded) return false;
  return result.failure->run != static_cast<uint8_t>(RunState::kUnknown);
}

// Returns whether the sidecar process that an intent names is still registered.
bool TurnRunner::IsRegistered(const Intent& intent) const {
  for (const SidecarRecord& it : parts_.membership.Sidecars()) {
    if (it.upstream == intent.upstream) {
      return it.incarnation == intent.sidecar_incarnation;
    }
  }
  return false;
}

TurnRunner::Resolution TurnRunner::ResolveOpenIntent(Turn& turn,
                                                     const TurnHold& hold,
                                                     wire::ResultT* result) {
  const Intent& intent = *hold.open_intent();
  wire::AttemptQueryT query;
  query.attempt = intent.attempt.value;
  query.partition = turn.partition.n;
  query.epoch = hold.epoch().n;
  const std::shared_ptr<RpcClient> client = parts_.rpc.Get(intent.sidecar);
  while (parts_.clock.Now() < turn.deadline) {
    absl::StatusOr<wire::BodyUnion> answer =
        client->Call(Wrap(query), kQueryTimeout);
    const wire::AttemptReplyT* reply =
        answer.ok() ? answer->AsAttemptReply() : nullptr;
    if (reply == nullptr) {
      if (!IsRegistered(intent)) break;
      SleepFor(kResolvePollInterval);
      continue;
    }
    if (reply->incarnation != intent.sidecar_incarnation) break;
    if (reply->state == static_cast<uint8_t>(RunState::kNotRun)) {
      return Resolution::kNeverRan;
    }
    if (reply->state == static_cast<uint8_t>(RunState::kRan) && reply->result) {
      *result = *reply->result;
      return Resolution::kResolved;
    }
    if (reply->state != kAttemptRunning) break;
    SleepFor(kResolvePollInterval);
  }
  if (parts_.clock.Now() >= turn.deadline) {
    *result = FailureResult({ErrorCode::kDeadlineExceeded, RunState::kUnknown,
                             kOwnerRetryAfter,
                             "The call's outcome is not known yet; ask again "
                             "with the same Idempotency-Key."});
    return Resolution::kUnresolved;
  }
  kLog.Warning("The outcome of a non-idempotent call is unknown.",
               {{"workspace", turn.key.workspace.value},
                {"attempt", intent.attempt.value}});
  *result =
      FailureResult({ErrorCode::kOutcomeUnknown, RunState::kUnknown, Ms{0},
                     "The call may have run; its upstream's record is "
                     "gone. It is never run again by itself."});
  return Resolution::kResolved;
}

wire::ResultT TurnRunner::Finish(Turn& turn, TurnHold hold,
                                 wire::ResultT result) {
  CallOutcome outcome = ToOutcome(result);
  if (turn.route.kind == RouteKind::kModel && result.failure == nullptr) {
    outcome.added = turn.request.messages;
    outcome.added.push_back(AssistantMessage(result.body));
  }
  parts_.metrics.GetCounter("turn.prompt_tokens").Add(result.prompt_tokens);
  parts_.metrics.GetCounter("turn.cached_tokens").Add(result.cached_tokens);
  const absl::Status recorded =
      parts_.programs.Finish(std::move(hold), outcome);
  if (recorded.ok()) return result;
  // In a store outage no other entry can take over the program, so the outcome
  // may stay pending in memory. When only this entry is cut off, another one
  // may take over without the outcome, so the caller must not rely on the
  // answer.
  if (absl::IsUnavailable(recorded) && parts_.contact.InOutage()) {
    result.pending = true;
    parts_.metrics.GetCounter("turn.pending").Add();
    return result;
  }
  kLog.Warning("Could not record the outcome of a call.",
               {{"workspace", turn.key.workspace.value},
                {"program", turn.key.program.value},
                {"error", std::string{recorded.message()}}});
  const bool lost_ownership =
      absl::IsAborted(recorded) || absl::IsFailedPrecondition(recorded);
  const RunState run =
      outcome.run == RunState::kNotRun ? RunState::kNotRun : RunState::kUnknown;
  return FailureResult(
      {lost_ownership ? ErrorCode::kNotOwner : ErrorCode::kStoreUnavailable,
       run, kOwnerRetryAfter,
       "The answer could not be kept; ask again with the same "
       "Idempotency-Key."});
}

// Releases the program's cache at the upstreams that probably hold it. Pins
// that are missed here expire with their lease.
void TurnRunner::ReleasePins(uint64_t program_hash) {
  for (const UpstreamPtr& it :
       parts_.upstreams.UpstreamsCaching(program_hash)) {
    wire::PinRenewalT renewal;
    renewal.released.push_back(program_hash);
    parts_.rpc.Get(it->record.rpc)
        ->Call(Wrap(std::move(renewal)), kQueryTimeout)
        .status()
        .IgnoreError();
  }
}

wire::ResultT TurnRunner::EndProgram(const wire::CallT& call) {
  const ProgramKey key{WorkspaceId(call.workspace), ProgramId(call.program)};
  const absl::Status ended = parts_.programs.End(key);
  ReleasePins(ProgramHash(key));
  parts_.upstreams.ForgetProgram(ProgramHash(key));
  wire::ResultT result;
  result.status = 200;
  if (ended.ok()) return result;
  if (absl::IsNotFound(ended)) {
    return FailureResult({ErrorCode::kNotFound, RunState::kNotRun, Ms{0},
                          "There is no such program."});
  }
  if (absl::IsAborted(ended) || absl::IsFailedPrecondition(ended)) {
    return FailureResult({ErrorCode::kNotOwner, RunState::kNotRun,
                          kOwnerRetryAfter, "The program's owner changes."});
  }
  return FailureResult({ErrorCode::kStoreUnavailable, RunState::kUnknown,
                        kOwnerRetryAfter,
                        "The end could not be kept; ask again."});
}

}  // namespace knapweed
