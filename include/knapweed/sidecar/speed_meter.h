#ifndef KNAPWEED_SIDECAR_SPEED_METER_H_
#define KNAPWEED_SIDECAR_SPEED_METER_H_

#include <algorithm>
#include <cstdint>

#include "knapweed/sidecar/upstream_call.h"

namespace knapweed {

/// Measures the speed of the upstream in tokens per second, as an exponentially
/// weighted mean over the calls that succeeded. Owned by Dispatcher. Not
/// thread-safe.
class SpeedMeter {
 public:
  /// Adds a call that succeeded.
  void Record(const UpstreamOutcome& outcome) {
    const wire::ResultT& result = outcome.result;
    const Ms decode = outcome.duration - outcome.time_to_first_token;
    UpdateMean(result.completion_tokens, decode, &decode_tokens_per_s_);
    const uint64_t computed =
        result.prompt_tokens -
        std::min(result.prompt_tokens, result.cached_tokens);
    // With few tokens the time is mostly that of the connection.
    if (computed >= kMinPrefillTokens) {
      UpdateMean(computed, outcome.time_to_first_token, &prefill_tokens_per_s_);
    }
  }

  /// Speed of a single call; zero before the first.
  double decode_tokens_per_s() const { return decode_tokens_per_s_; }
  double prefill_tokens_per_s() const { return prefill_tokens_per_s_; }

 private:
  /// Weight of the newest call in the mean.
  static constexpr double kNewestWeight = 0.1;
  static constexpr uint64_t kMinPrefillTokens = 64;

  static void UpdateMean(uint64_t tokens, Ms span, double* mean) {
    if (tokens == 0 || span <= Ms{0}) return;
    const double newest = static_cast<double>(tokens) / span.Seconds();
    *mean = *mean == 0 ? newest : *mean + kNewestWeight * (newest - *mean);
  }

  double decode_tokens_per_s_ = 0;
  double prefill_tokens_per_s_ = 0;
};

}  // namespace knapweed

#endif  // KNAPWEED_SIDECAR_SPEED_METER_H_
