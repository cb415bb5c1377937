#ifndef KNAPWEED_POLICY_CIRCUIT_BREAKER_H_
#define KNAPWEED_POLICY_CIRCUIT_BREAKER_H_

#include <cstdint>

#include "knapweed/base/clock.h"

namespace knapweed {

/// Parameters of a circuit breaker.
struct BreakerOptions {
  /// Consecutive failures that open the breaker.
  uint32_t failure_threshold = 5;
  /// How long the breaker stays open the first time. Doubles with each failed
  /// probe, up to `max_open_time`.
  Ms initial_open_time{500};
  Ms max_open_time{30000};
};

/// Stops calls to a failing upstream. A closed breaker allows all calls, an
/// open one none; after the open time it allows one probe.
struct CircuitBreaker {
  uint32_t failures = 0;
  /// How often the breaker opened since the last success; zero when it is
  /// closed.
  uint32_t open_count = 0;
  Ms open_until;
  bool probing = false;
};

/// Returns whether a call may be sent now. If the breaker is open, an allowed
/// call is the probe; the caller must report its outcome with `RecordSuccess`
/// or `RecordFailure`.
bool AllowCall(CircuitBreaker& breaker, Ms now);

/// Returns what `AllowCall` would return, without starting a probe.
bool WouldAllowCall(const CircuitBreaker& breaker, Ms now);

/// Closes the breaker.
void RecordSuccess(CircuitBreaker& breaker);

/// Counts a failure of the upstream itself; a rejection by a working upstream
/// is not one. Adds a jitter of up to half the open time, where `random_unit`
/// is in [0, 1).
void RecordFailure(CircuitBreaker& breaker, Ms now, double random_unit,
                   const BreakerOptions& options = {});

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_CIRCUIT_BREAKER_H_
