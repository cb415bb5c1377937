#include "knapweed/entry/call_router.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

#include "knapweed/entry/caller_api.h"
#include "knapweed/entry/stream_cursor.h"
#include "knapweed/policy/retry.h"

namespace knapweed {
namespace {

// Bounds of the exponential delay between tries to reach an owner.
constexpr Ms kMinRetryDelay = Ms{50};
constexpr Ms kMaxRetryDelay = Ms{150};
// Part of the deadline reserved for the owner's reply to travel back.
constexpr Ms kReplyMargin = Ms{200};
// Suggested to callers when the owner is missing or unreachable.
constexpr Ms kOwnerRetryAfter = Seconds(1);

wire::ResultT Failed(ErrorCode code, RunState run, Ms retry_after,
                     std::string message) {
  wire::ResultT result;
  result.status = HttpStatusOf(code);
  result.failure = std::make_unique<wire::FailureT>(
      ToFailure({code, run, retry_after, std::move(message)}));
  return result;
}

// Returns whether a retry may reach an owner that can run the call.
bool OwnerMayChange(const wire::ResultT& result) {
  if (result.failure == nullptr) return false;
  const auto code = static_cast<ErrorCode>(result.failure->code);
  return code == ErrorCode::kNotOwner || code == ErrorCode::kFenced;
}

wire::ResultT FromRpcError(const absl::Status& status) {
  if (absl::IsCancelled(status)) {
    return Failed(ErrorCode::kCancelled, RunState::kUnknown, Ms{0},
                  "The caller is gone.");
  }
  if (absl::IsDeadlineExceeded(status)) {
    return Failed(ErrorCode::kDeadlineExceeded, RunState::kUnknown, Ms{0},
                  "The program's owner did not answer before the deadline.");
  }
  const RunState run =
      absl::IsUnavailable(status) ? RunState::kNotRun : RunState::kUnknown;
  return Failed(ErrorCode::kNotOwner, run, kOwnerRetryAfter,
                "The program's owner can't be reached.");
}

// Changes "not run" in a failure to "unknown" when an earlier try may have run.
void PreserveUnknownRunState(bool may_have_run, wire::ResultT* result) {
  if (!may_have_run || result->failure == nullptr) return;
  if (result->failure->run == static_cast<uint8_t>(RunState::kNotRun)) {
    result->failure->run = static_cast<uint8_t>(RunState::kUnknown);
  }
}

bool HasUnknownRunState(const wire::ResultT& result) {
  return result.failure != nullptr &&
         result.failure->run == static_cast<uint8_t>(RunState::kUnknown);
}

}  // namespace

wire::ResultT CallRouter::RouteOnce(const wire::CallT& call,
                                    const ChunkSink& sink) {
  const ProgramKey key{WorkspaceId(call.workspace), ProgramId(call.program)};
  const std::optional<PartitionOwner> owner =
      parts_.membership.OwnerOf(PartitionOf(key, parts_.partition_count));
  if (!owner.has_value()) {
    return Failed(ErrorCode::kNotOwner, RunState::kNotRun, kOwnerRetryAfter,
                  "The program has no owner at the moment.");
  }
  const bool serves_in_outage =
      owner->self_lease_expired && parts_.contact.InOutage();
  if (owner->self || serves_in_outage) {
    return call.ends_program ? parts_.runner.EndProgram(call)
                             : parts_.runner.Run(call, sink);
  }
  parts_.metrics.GetCounter("call.forwarded").Add();
  // The owner gets a shorter deadline, so that its report whether the call ran
  // arrives before this entry times out.
  wire::CallT forwarded = call;
  const Ms timeout{call.deadline_ms};
  forwarded.deadline_ms = TimeForNextHop(timeout, Ms{0}, kReplyMargin).count;
  absl::StatusOr<wire::BodyUnion> answer =
      parts_.rpc.Get(owner->member.rpc)
          ->Call(Wrap(std::move(forwarded)), timeout, sink);
  if (!answer.ok()) return FromRpcError(answer.status());
  wire::ResultT* result = answer->AsResult();
  if (result != nullptr) return std::move(*result);
  return Failed(ErrorCode::kInternal, RunState::kUnknown, Ms{0},
                "The program's owner answered out of protocol.");
}

wire::ResultT CallRouter::Route(wire::CallT call, const ChunkSink& sink) {
  const Ms deadline = parts_.clock.Now() + Ms{call.deadline_ms};
  StreamCursor cursor(sink);
  const ChunkSink cursor_sink = [&](std::string_view piece) {
    return cursor.Push(piece);
  };
  bool may_have_run = false;
  Ms delay = kMinRetryDelay;
  while (true) {
    cursor.Restart();
    wire::ResultT result = RouteOnce(call, cursor_sink);
    if (cursor.diverged()) {
      return Failed(ErrorCode::kUpstreamFailed, RunState::kUnknown, Ms{0},
                    "The upstream failed in the middle of the answer.");
    }
    const bool out_of_time = parts_.clock.Now() + delay >= deadline;
    if (!OwnerMayChange(result) || out_of_time) {
      PreserveUnknownRunState(may_have_run, &result);
      if (result.failure == nullptr && call.stream &&
          !cursor.PushRest(result.body) && cursor.diverged()) {
        return Failed(ErrorCode::kUpstreamFailed, RunState::kRan, Ms{0},
                      "The kept answer differs from what was streamed.");
      }
      return result;
    }
    may_have_run = may_have_run || HasUnknownRunState(result);
    parts_.metrics.GetCounter("call.owner_retries").Add();
    parts_.membership.RequestScan();
    SleepFor(delay);
    delay = std::min(delay * 2, kMaxRetryDelay);
    call.deadline_ms = (deadline - parts_.clock.Now()).count;
  }
}

}  // namespace knapweed
