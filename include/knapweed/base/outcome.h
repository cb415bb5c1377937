#ifndef KNAPWEED_BASE_OUTCOME_H_
#define KNAPWEED_BASE_OUTCOME_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "knapweed/base/clock.h"

namespace knapweed {

/// Whether a call was executed by an upstream. `kNotRun` is used only if it is
/// certain that the call was not executed.
enum class RunState : uint8_t { kNotRun = 0, kRan = 1, kUnknown = 2 };

/// The reasons for which a caller's request can fail. The numbers are sent
/// between processes, and the names of `ErrorCodeName` are part of the HTTP
/// interface.
enum class ErrorCode : uint8_t {
  kBadRequest = 0,
  kTooLarge,
  kUnauthorized,
  kForbidden,
  kNotFound,
  kUnknownModel,
  kConflict,
  kKeyReused,
  kOverRate,
  kBudgetExhausted,
  kQuarantined,
  kDeadlineExceeded,
  kOverloaded,
  kNoUpstream,
  kUpstreamFailed,
  kStoreUnavailable,
  kNotOwner,
  kFenced,
  kLeaving,
  kOutcomeUnknown,
  kCancelled,
  kInternal,
};

/// Number of values of ErrorCode.
inline constexpr int kErrorCodeCount =
    static_cast<int>(ErrorCode::kInternal) + 1;

/// Why a call failed. `retry_after` is zero if a retry would not help.
struct CallError {
  ErrorCode code = ErrorCode::kInternal;
  RunState run = RunState::kNotRun;
  Ms retry_after;
  std::string message;
};

/// Returns the stable name of a code, such as "over_rate".
std::string_view ErrorCodeName(ErrorCode code);
/// Returns the HTTP status for a code.
int HttpStatusOf(ErrorCode code);
/// Returns "not_run", "ran" or "unknown".
std::string_view RunStateName(RunState run);

}  // namespace knapweed

#endif  // KNAPWEED_BASE_OUTCOME_H_
