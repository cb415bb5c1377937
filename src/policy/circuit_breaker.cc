#include "knapweed/policy/circuit_breaker.h"

#include <algorithm>
#include <cmath>

namespace knapweed {

bool WouldAllowCall(const CircuitBreaker& breaker, Ms now) {
  if (breaker.open_count == 0) return true;
  return !breaker.probing && now >= breaker.open_until;
}

bool AllowCall(CircuitBreaker& breaker, Ms now) {
  if (!WouldAllowCall(breaker, now)) return false;
  breaker.probing = breaker.open_count > 0;
  return true;
}

void RecordSuccess(CircuitBreaker& breaker) { breaker = CircuitBreaker{}; }

void RecordFailure(CircuitBreaker& breaker, Ms now, double random_unit,
                   const BreakerOptions& options) {
  ++breaker.failures;
  const bool probe_failed = breaker.probing;
  if (breaker.open_count > 0 && !probe_failed) return;
  if (breaker.failures < options.failure_threshold && !probe_failed) return;
  const uint32_t doublings = std::min(breaker.open_count, 20U);
  const Ms open =
      std::min(options.initial_open_time * (int64_t{1} << doublings),
               options.max_open_time);
  const double jitter = 0.5 * random_unit * static_cast<double>(open.count);
  breaker.open_until = now + open + Ms{std::llround(jitter)};
  breaker.probing = false;
  ++breaker.open_count;
}

}  // namespace knapweed
