#include "knapweed/policy/retry.h"

#include <algorithm>
#include <cmath>

namespace knapweed {

bool MayRunAgain(RunState run, bool idempotent) {
  return run == RunState::kNotRun || idempotent;
}

bool IsTransient(ErrorCode code) {
  switch (code) {
    case ErrorCode::kOverloaded:
    case ErrorCode::kNoUpstream:
    case ErrorCode::kUpstreamFailed:
    case ErrorCode::kNotOwner:
    case ErrorCode::kLeaving:
      return true;
    default:
      return false;
  }
}

void AddRetryCredit(RetryBudget& budget, const RetryOptions& options) {
  budget.tokens =
      std::min(budget.tokens + options.budget_share, options.budget_burst);
}

Ms BackOff(uint32_t attempts, double random_unit, const RetryOptions& options) {
  const uint32_t doublings = std::min(attempts > 0 ? attempts - 1 : 0, 20U);
  const Ms longest = std::min(options.base_delay * (int64_t{1} << doublings),
                              options.max_delay);
  return Ms{std::llround(static_cast<double>(longest.count) * random_unit)};
}

RetryDecision DecideRetry(RetryBudget& budget, const FailedAttempt& attempt,
                          Ms now, double random_unit,
                          const RetryOptions& options) {
  if (attempt.response_started || attempt.attempts >= options.max_attempts) {
    return {};
  }
  if (!IsTransient(attempt.code)) return {};
  if (!MayRunAgain(attempt.run, attempt.idempotent)) return {};
  const Ms wait =
      attempt.retry_after + BackOff(attempt.attempts, random_unit, options);
  const Ms end = now + wait + attempt.expected_service;
  if (attempt.deadline > Ms{0} && end >= attempt.deadline) return {};
  if (budget.tokens < 1) return {};
  budget.tokens -= 1;
  return {true, wait};
}

Ms TimeForNextHop(Ms deadline, Ms now, Ms margin) {
  return std::max(deadline - now - margin, Ms{0});
}

}  // namespace knapweed
