#ifndef KNAPWEED_LIMITS_RATE_BUCKET_H_
#define KNAPWEED_LIMITS_RATE_BUCKET_H_

#include "knapweed/base/clock.h"

namespace knapweed {

/// A token bucket as plain data. Tokens are calls; they fill at `rate_per_s` up
/// to `burst`.
struct RateBucket {
  double rate_per_s = 0;
  double burst = 0;
  double tokens = 0;
  Ms filled_at;
};

/// A bucket whose past is unknown starts empty, so that no restart can exceed
/// rate and burst.
RateBucket MakeEmptyBucket(double rate_per_s, double burst, Ms now);

/// What a request for tokens came to. `retry_after` is set when nothing was
/// taken.
struct TakeResult {
  bool taken = false;
  Ms retry_after;
};

/// Takes `want` tokens if they are there at `now`.
TakeResult TakeTokens(RateBucket& bucket, double want, Ms now);

/// Adds what was earned since the last fill. An earlier `now` changes nothing.
void FillBucket(RateBucket& bucket, Ms now);

/// How long after the last fill the bucket holds `tokens`; a minute when it
/// never will.
Ms TimeUntil(const RateBucket& bucket, double tokens);

/// Gives back tokens that were taken and not used, up to the burst.
void ReturnTokens(RateBucket& bucket, double tokens, Ms now);

}  // namespace knapweed

#endif  // KNAPWEED_LIMITS_RATE_BUCKET_H_
