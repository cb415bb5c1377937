#ifndef KNAPWEED_POLICY_CIRCUIT_BREAKER_H_
#define KNAPWEED_POLICY_CIRCUIT_BREAKER_H_

#include <cstdint>

#include "knapweed/base/clock.h"

namespace knapweed {

/// Constants of a circuit breaker.
struct BreakerOptions {
  /// Failures in a row that open it.
  uint32_t failure_threshold = 5;
  /// First time that it stays open; doubles with each failed probe up to
  /// `max_open_time`.
  Ms initial_open_time{500};
  Ms max_open_time{30000};
};

/// Keeps calls from an upstream that fails. A closed breaker lets all calls
/// through, an open one none, and after its time one probe.
struct CircuitBreaker {
  uint32_t failures = 0;
  /// Times that it opened since the last success.
  uint32_t open_count = 0;
  Ms open_until;
  bool probing = false;
};

/// Whether a call may go now; a true answer of an open breaker is the probe,
/// which the caller must report on.
bool AllowCall(CircuitBreaker& breaker, Ms now);

/// Whether `AllowCall` would say yes; changes nothing.
bool WouldAllowCall(const CircuitBreaker& breaker, Ms now);

void RecordSuccess(CircuitBreaker& breaker);

/// Counts a failure of the upstream itself, not a refusal by it. Up to a half
/// of the open time is jitter; `random_unit` is in [0, 1).
void RecordFailure(CircuitBreaker& breaker, Ms now, double random_unit,
                   const BreakerOptions& options = {});

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_CIRCUIT_BREAKER_H_
