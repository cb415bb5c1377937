#ifndef KNAPWEED_BASE_OUTCOME_H_
#define KNAPWEED_BASE_OUTCOME_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "knapweed/base/clock.h"

namespace knapweed {

/// Whether a call took effect at an upstream. `kNotRun` is said only when it is
/// proven.
enum class RunState : uint8_t { kNotRun = 0, kRan = 1, kUnknown = 2 };

/// Every reason for which a caller's request can fail. The names are part of
/// the interface.
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

/// Number of codes above, for tables over all of them.
inline constexpr int kErrorCodeCount =
    static_cast<int>(ErrorCode::kInternal) + 1;

/// How a call failed. `retry_after` is zero where asking again does not help.
struct CallError {
  ErrorCode code = ErrorCode::kInternal;
  RunState run = RunState::kNotRun;
  Ms retry_after;
  std::string message;
};

/// The stable name, such as "over_rate".
std::string_view ErrorCodeName(ErrorCode code);
/// The HTTP status that goes with a code.
int HttpStatusOf(ErrorCode code);
/// "not_run", "ran" or "unknown".
std::string_view RunStateName(RunState run);

}  // namespace knapweed

#endif  // KNAPWEED_BASE_OUTCOME_H_
