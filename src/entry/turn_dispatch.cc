#include <algorithm>
#include <memory>
#include <utility>

#include "knapweed/entry/turn_runner.h"
#include "turn.h"

namespace knapweed {
namespace {

/// Longest wait of a call while no upstream accepts work.
constexpr Ms kNoUpstreamWait = Seconds(3);
constexpr Ms kNoUpstreamPollInterval = Ms{100};
/// Part of the deadline reserved for the sidecar's reply to travel back.
constexpr Ms kReplyMargin = Ms{100};
/// How long an engine keeps a program's cache after a turn unless the pin is
/// renewed.
constexpr Ms kPinLease = Seconds(30);

// Returns the error of a dispatch without an answer. The run state is "not run"
// only when the request certainly was not sent.
CallError DispatchError(const absl::Status& status) {
  switch (status.code()) {
    case absl::StatusCode::kUnavailable:
      return {ErrorCode::kUpstreamFailed, RunState::kNotRun,
              kNoUpstreamRetryAfter, "The upstream can't be reached."};
    case absl::StatusCode::kDeadlineExceeded:
      return {ErrorCode::kDeadlineExceeded, RunState::kUnknown, Ms{0},
              "The upstream did not answer before the deadline."};
    case absl::StatusCode::kCancelled:
      return {ErrorCode::kCancelled, RunState::kUnknown, Ms{0},
              "The caller is gone."};
    default:
      return {ErrorCode::kUpstreamFailed, RunState::kUnknown, Ms{0},
              "The connection to the upstream broke."};
  }
}

uint64_t PlacementRandom(const wire::CallT& call, int dispatch) {
  return HashBytes(call.request_id, static_cast<uint64_t>(dispatch));
}

}  // namespace

UpstreamPtr TurnRunner::PlaceOrWait(Turn& turn, int dispatch) {
  const Ms wait_deadline =
      std::min(turn.deadline, parts_.clock.Now() + kNoUpstreamWait);
  while (true) {
    PlacementQuery query;
    query.pool = turn.route.pool;
    query.model = turn.request.model;
    query.program_hash = turn.program_hash;
    query.parent_hash = ParentHashOf(turn.call);
    query.prompt_tokens = turn.prompt_tokens;
    query.expected_output_tokens = turn.request.max_tokens;
    query.tried = turn.tried;
    query.random = PlacementRandom(turn.call, dispatch);
    UpstreamPtr upstream = parts_.upstreams.Place(query);
    if (upstream != nullptr || parts_.clock.Now() >= wait_deadline)
      return upstream;
    if (turn.sink && !turn.sink("")) return nullptr;
    // An upstream that failed this call before is better than none.
    turn.tried.clear();
    SleepFor(kNoUpstreamPollInterval);
  }
}

bool TurnRunner::MayRetry(const Turn& turn, const wire::ResultT& result,
                          uint32_t attempts, Ms* wait) {
  if (turn.cursor.diverged()) return false;
  // A retry on another upstream can't help while the store is unavailable.
  const auto code = static_cast<ErrorCode>(result.failure->code);
  if (code == ErrorCode::kStoreUnavailable) return false;
  FailedAttempt attempt;
  attempt.code = code;
  attempt.run = static_cast<RunState>(result.failure->run);
  attempt.idempotent = !turn.route.non_idempotent;
  attempt.attempts = attempts;
  attempt.retry_after = Ms{result.failure->retry_after_ms};
  attempt.deadline = turn.deadline;
  const std::lock_guard lock(retry_mu_);
  const RetryDecision decision = DecideRetry(
      retry_budget_, attempt, parts_.clock.Now(), JitterFraction(turn.call));
  *wait = decision.wait;
  return decision.retry;
}

wire::ResultT TurnRunner::DispatchWithRetries(Turn& turn, TurnHold& hold) {
  {
    const std::lock_guard lock(retry_mu_);
    AddRetryCredit(retry_budget_);
  }
  for (uint32_t attempts = 1;; ++attempts) {
    const UpstreamPtr upstream = PlaceOrWait(turn, static_cast<int>(attempts));
    if (upstream == nullptr) {
      return FailureResult(
          {ErrorCode::kNoUpstream, RunState::kNotRun, kNoUpstreamRetryAfter,
           "No upstream of this route takes work at the moment."});
    }
    turn.cursor.Restart();
    wire::ResultT result = DispatchOnce(turn, hold, upstream);
    Ms wait;
    if (result.failure == nullptr || !MayRetry(turn, result, attempts, &wait)) {
      return result;
    }
    parts_.metrics.GetCounter("turn.retries").Add();
    turn.tried.push_back(upstream);
    SleepFor(wait);
  }
}

wire::ResultT TurnRunner::DispatchOnce(Turn& turn, TurnHold& hold,
                                       const UpstreamPtr& upstream) {
  const SidecarRecord& record = upstream->record;
  // The lease may have lapsed while the call waited for an upstream.
  if (!MayServe(turn)) return NotOwnerResult();
  const QuarantineVerdict verdict =
      parts_.crashes.VerdictOf(DigestOf(turn.call));
  if (verdict == QuarantineVerdict::kQuarantined) {
    return FailureResult({ErrorCode::kQuarantined, RunState::kNotRun, Ms{0},
                          "This request crashed several upstreams; it is not "
                          "run again until an operator clears it."});
  }
  if (verdict == QuarantineVerdict::kSuspect &&
      !parts_.crashes.ReportSuspect(DigestOf(turn.call), record.rpc)) {
    parts_.upstreams.OnFailure(*upstream, JitterFraction(turn.call));
    return FailureResult({ErrorCode::kUpstreamFailed, RunState::kNotRun,
                          kNoUpstreamRetryAfter,
                          "The upstream can't be reached."});
  }
  wire::DispatchT dispatch;
  dispatch.attempt = RandomHexId();
  if (turn.route.non_idempotent) {
    if (parts_.contact.InOutage()) return IntentNotRecordedResult();
    const Intent intent{AttemptId(dispatch.attempt), record.upstream,
                        record.incarnation, record.rpc};
    const absl::Status recorded = parts_.programs.RecordIntent(hold, intent);
    if (!recorded.ok()) return IntentNotRecordedResult();
    turn.intent_recorded = true;
  }
  const Ms remaining = turn.deadline - parts_.clock.Now();
  if (remaining <= Ms{0}) {
    return FailureResult({ErrorCode::kDeadlineExceeded, RunState::kNotRun,
                          Ms{0}, "The deadline passed before the dispatch."});
  }
  dispatch.workspace = turn.call.workspace;
  dispatch.program = turn.call.program;
  dispatch.partition = turn.partition.n;
  dispatch.epoch = hold.epoch().n;
  dispatch.path = turn.route.path;
  dispatch.model = turn.request.model;
  dispatch.body = turn.body;
  dispatch.digest = DigestOf(turn.call);
  dispatch.non_idempotent = turn.route.non_idempotent;
  dispatch.stream = turn.call.stream;
  dispatch.deadline_ms =
      TimeForNextHop(turn.deadline, parts_.clock.Now(), kReplyMargin).count;
  dispatch.weight = turn.weight;
  dispatch.attained_tokens = hold.attained_tokens();
  dispatch.prompt_tokens = turn.prompt_tokens;
  if (turn.route.kind == RouteKind::kModel) dispatch.pin_ms = kPinLease.count;
  parts_.upstreams.OnDispatch(*upstream, turn.prompt_tokens,
                              turn.request.max_tokens);
  absl::StatusOr<wire::BodyUnion> answer =
      parts_.rpc.Get(record.rpc)
          ->Call(Wrap(std::move(dispatch)), remaining,
                 [&turn](std::string_view piece) {
                   // A non-idempotent call is not cancelled when its caller
                   // disconnects: its outcome must be recorded.
                   return turn.cursor.Push(piece) || turn.route.non_idempotent;
                 });
  wire::ResultT* result = answer.ok() ? answer->AsResult() : nullptr;
  parts_.upstreams.OnAnswer(*upstream,
                            result == nullptr ? nullptr : result->load.get());
  if (result != nullptr) {
    result->upstream = record.upstream.value;
    RecordUpstreamResult(turn, *upstream, *result);
    if (result->crashed) {
      parts_.crashes.OnCrash(DigestOf(turn.call), record.upstream.value);
    }
    return std::move(*result);
  }
  if (!answer.ok() && !absl::IsCancelled(answer.status())) {
    parts_.upstreams.OnFailure(*upstream, JitterFraction(turn.call));
  }
  return FailureResult(DispatchError(answer.status()));
}

void TurnRunner::RecordUpstreamResult(const Turn& turn, UpstreamState& upstream,
                                      const wire::ResultT& result) {
  if (result.failure == nullptr) {
    if (turn.route.kind == RouteKind::kModel) {
      parts_.upstreams.OnCacheReport(upstream, turn.program_hash, result);
    }
    return;
  }
  const auto code = static_cast<ErrorCode>(result.failure->code);
  if (code == ErrorCode::kUpstreamFailed) {
    parts_.upstreams.OnFailure(upstream, JitterFraction(turn.call));
  }
}

}  // namespace knapweed
