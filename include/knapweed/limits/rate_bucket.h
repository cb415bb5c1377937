#ifndef KNAPWEED_LIMITS_RATE_BUCKET_H_
#define KNAPWEED_LIMITS_RATE_BUCKET_H_

#include "knapweed/base/clock.h"

namespace knapweed {

/// A token bucket as plain data. One token admits one call; tokens accrue at
/// `rate_per_s` up to `burst`.
struct RateBucket {
  double rate_per_s = 0;
  double burst = 0;
  double tokens = 0;
  Ms filled_at;
};

/// Returns an empty bucket. A bucket with unknown history starts empty, so that
/// a restart cannot exceed rate and burst.
RateBucket MakeEmptyBucket(double rate_per_s, double burst, Ms now);

/// The outcome of TakeTokens. `retry_after` is set when nothing was taken.
struct TakeResult {
  bool taken = false;
  Ms retry_after;
};

/// Takes `want` tokens if they are available at `now`, otherwise none.
TakeResult TakeTokens(RateBucket& bucket, double want, Ms now);

/// Adds the tokens accrued since the last fill. A `now` before the last fill
/// changes nothing.
void FillBucket(RateBucket& bucket, Ms now);

/// Returns the time after the last fill at which the bucket holds `tokens`; a
/// minute when it never will.
Ms TimeUntil(const RateBucket& bucket, double tokens);

/// Returns unused tokens to the bucket, up to the burst.
void ReturnTokens(RateBucket& bucket, double tokens, Ms now);

}  // namespace knapweed

#endif  // KNAPWEED_LIMITS_RATE_BUCKET_H_
