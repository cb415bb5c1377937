#ifndef KNAPWEED_POLICY_RETRY_H_
#define KNAPWEED_POLICY_RETRY_H_

#include <cstdint>

#include "knapweed/base/clock.h"
#include "knapweed/base/outcome.h"

namespace knapweed {

/// Constants of retries.
struct RetryOptions {
  uint32_t max_attempts = 3;
  Ms base_delay{50};
  Ms max_delay{2000};
  /// Retries that each first attempt earns, and how many can be saved up.
  double budget_share = 0.1;
  double budget_burst = 10;
};

/// Bounds retries to a share of the first attempts of one process, so that a
/// failing fleet isn't sent a multiple of its load.
struct RetryBudget {
  double tokens = 10;
};

/// How the last attempt of a call ended. `deadline` is zero when there is none.
struct FailedAttempt {
  ErrorCode code = ErrorCode::kInternal;
  RunState run = RunState::kUnknown;
  bool idempotent = false;
  /// Part of an answer has gone to the caller already.
  bool response_started = false;
  /// Attempts so far, at least 1.
  uint32_t attempts = 1;
  /// Wait that the refusing side asked for.
  Ms retry_after;
  Ms deadline;
  /// Least time that another attempt would take.
  Ms expected_service;
};

struct RetryDecision {
  bool retry = false;
  Ms wait;
};

/// A call may run again only when it is proven not to have run, or idempotent.
bool MayRunAgain(RunState run, bool idempotent);

/// Whether another upstream may do better on this failure.
bool IsTransient(ErrorCode code);

/// Credits the budget with a first attempt.
void AddRetryCredit(RetryBudget& budget, const RetryOptions& options = {});

/// Full-jitter exponential back-off for the attempt after `attempts`;
/// `random_unit` is in [0, 1).
Ms BackOff(uint32_t attempts, double random_unit,
           const RetryOptions& options = {});

/// Decides on another attempt and takes it from the budget. Refuses when it
/// could not end before the deadline.
RetryDecision DecideRetry(RetryBudget& budget, const FailedAttempt& attempt,
                          Ms now, double random_unit,
                          const RetryOptions& options = {});

/// What is left of a call's time for the next hop, which must leave `margin`
/// for the answer to come back; never below zero.
Ms TimeForNextHop(Ms deadline, Ms now, Ms margin);

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_RETRY_H_
