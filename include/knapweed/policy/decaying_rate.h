#ifndef KNAPWEED_POLICY_DECAYING_RATE_H_
#define KNAPWEED_POLICY_DECAYING_RATE_H_

#include <cmath>

#include "knapweed/base/clock.h"

/// Rates of events, averaged over a short time.
namespace knapweed {

/// Time constant of `DecayingRate`. An exponential average with it varies as
/// much as an average over a window of twice the time, 1.5 s.
inline constexpr Ms kRateDecayTime{750};

/// The rate of events, of which older ones weigh exponentially less. The time
/// must not go backwards.
struct DecayingRate {
  double per_s = 0;
  Ms at;
};

/// Returns the rate as of `now`, in events per second.
inline double RateAt(const DecayingRate& rate, Ms now) {
  const double spans = (now - rate.at).Seconds() / kRateDecayTime.Seconds();
  return rate.per_s * std::exp(-spans);
}

/// Counts one event.
inline void RecordEvent(DecayingRate& rate, Ms now) {
  rate.per_s = RateAt(rate, now) + 1 / kRateDecayTime.Seconds();
  rate.at = now;
}

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_DECAYING_RATE_H_
