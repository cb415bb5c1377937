#ifndef KNAPWEED_POLICY_RETRY_H_
#define KNAPWEED_POLICY_RETRY_H_

#include <cstdint>

#include "knapweed/base/clock.h"
#include "knapweed/base/outcome.h"

namespace knapweed {

/// Parameters of retries.
struct RetryOptions {
  uint32_t max_attempts = 3;
  Ms base_delay{50};
  Ms max_delay{2000};
  /// Retries that each first attempt adds to the budget, and the maximum that
  /// the budget holds.
  double budget_share = 0.1;
  double budget_burst = 10;
};

/// Limits the retries of one process to a share of its first attempts, so that
/// retries do not multiply the load of a failing fleet.
struct RetryBudget {
  double tokens = 10;
};

/// The outcome of the last attempt of a call. `deadline` is zero when there is
/// none.
struct FailedAttempt {
  ErrorCode code = ErrorCode::kInternal;
  RunState run = RunState::kUnknown;
  bool idempotent = false;
  /// Whether part of the response was already sent to the caller.
  bool response_started = false;
  /// Attempts made so far, at least 1.
  uint32_t attempts = 1;
  /// Delay requested by the side that rejected the call.
  Ms retry_after;
  Ms deadline;
  /// Minimum time that another attempt would take.
  Ms expected_service;
};

/// Whether to retry, and the delay before the retry.
struct RetryDecision {
  bool retry = false;
  Ms wait;
};

/// Returns whether a call may be run again: only when it is proven not to have
/// run, or is idempotent.
bool MayRunAgain(RunState run, bool idempotent);

/// Returns whether a retry, possibly at another upstream, can succeed after
/// this error.
bool IsTransient(ErrorCode code);

/// Adds the credit of one first attempt to the budget.
void AddRetryCredit(RetryBudget& budget, const RetryOptions& options = {});

/// Returns the exponential back-off with full jitter before the retry that
/// follows `attempts` attempts; `random_unit` is in [0, 1).
Ms BackOff(uint32_t attempts, double random_unit,
           const RetryOptions& options = {});

/// Decides whether to retry, and if so deducts the retry from the budget.
/// Refuses when the retry could not finish before the deadline.
RetryDecision DecideRetry(RetryBudget& budget, const FailedAttempt& attempt,
                          Ms now, double random_unit,
                          const RetryOptions& options = {});

/// Returns the time that the next hop may use, with `margin` reserved for
/// returning the response; never negative.
Ms TimeForNextHop(Ms deadline, Ms now, Ms margin);

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_RETRY_H_
