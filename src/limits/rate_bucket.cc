#include "knapweed/limits/rate_bucket.h"

#include <algorithm>
#include <cmath>

namespace knapweed {
namespace {

/// Wait reported for a bucket that never fills; long enough to avoid frequent
/// retries.
constexpr Ms kNeverFillsWait = Seconds(60);
/// Tolerance for rounding errors in sums of fractions.
constexpr double kRoundingTolerance = 1e-9;

}  // namespace

RateBucket MakeEmptyBucket(double rate_per_s, double burst, Ms now) {
  return RateBucket{rate_per_s, burst, 0, now};
}

void FillBucket(RateBucket& bucket, Ms now) {
  if (now <= bucket.filled_at) return;
  const double earned = (now - bucket.filled_at).Seconds() * bucket.rate_per_s;
  bucket.tokens = std::min(bucket.burst, bucket.tokens + earned);
  bucket.filled_at = now;
}

Ms TimeUntil(const RateBucket& bucket, double tokens) {
  const double missing = tokens - bucket.tokens - kRoundingTolerance;
  if (missing <= 0) return Ms{0};
  if (bucket.rate_per_s <= 0 || tokens > bucket.burst) return kNeverFillsWait;
  const double ms = std::ceil(missing / bucket.rate_per_s * 1000);
  return Ms{std::max<int64_t>(1, static_cast<int64_t>(ms))};
}

TakeResult TakeTokens(RateBucket& bucket, double want, Ms now) {
  FillBucket(bucket, now);
  if (bucket.tokens + kRoundingTolerance >= want) {
    bucket.tokens = std::max(0.0, bucket.tokens - want);
    return TakeResult{true, Ms{0}};
  }
  return TakeResult{false, TimeUntil(bucket, want)};
}

void ReturnTokens(RateBucket& bucket, double tokens, Ms now) {
  FillBucket(bucket, now);
  bucket.tokens = std::min(bucket.burst, bucket.tokens + std::max(0.0, tokens));
}

}  // namespace knapweed
