#include "turn.h"

#include <memory>

#include "knapweed/entry/caller_api.h"

namespace knapweed {

wire::ResultT FailureResult(const CallError& error) {
  wire::ResultT result;
  result.status = HttpStatusOf(error.code);
  result.failure = std::make_unique<wire::FailureT>(ToFailure(error));
  return result;
}

wire::ResultT IntentNotRecordedResult() {
  return FailureResult({ErrorCode::kStoreUnavailable, RunState::kNotRun,
                        kNoUpstreamRetryAfter,
                        "The call can't be made safe at the moment."});
}

wire::ResultT NotOwnerResult() {
  return FailureResult({ErrorCode::kNotOwner, RunState::kNotRun,
                        kOwnerRetryAfter, "The program's owner changes."});
}

uint64_t ProgramHash(const ProgramKey& key) {
  return HashBytes(key.program.value, HashBytes(key.workspace.value));
}

uint64_t ParentHashOf(const wire::CallT& call) {
  if (call.parent.empty()) return 0;
  return ProgramHash({WorkspaceId(call.workspace), ProgramId(call.parent)});
}

double JitterFraction(const wire::CallT& call) {
  constexpr double kRange = 18446744073709551616.0;  // 2^64
  return static_cast<double>(HashBytes(call.request_id)) / kRange;
}

uint64_t DigestOf(const wire::CallT& call) {
  return HashBytes(call.body, HashBytes(call.route));
}

}  // namespace knapweed
