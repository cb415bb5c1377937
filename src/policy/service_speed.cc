#include "knapweed/policy/service_speed.h"

#include <algorithm>
#include <cmath>

namespace knapweed {
namespace {

/// A sample's weight grows with the time since the one before, so that a
/// gateway with few calls follows a change as fast as one with many.
constexpr Ms kRecentSpan{500};
constexpr double kMinWeight = 0.05;
/// Samples before the base is taken to be known.
constexpr uint32_t kSamplesForBase = 10;
constexpr double kBaseFallWeight = 0.1;
/// The base rises within this time to a level that lasts: that is then the
/// speed of the service, not a load.
constexpr Ms kBaseRiseTime{120000};
/// Age of the last sample at which the recent mean counts for half.
constexpr Ms kRecentHalfLife{1500};
constexpr double kMaxSampleMs = 60000;

constexpr uint64_t kMinPrefillTokens = 512;
/// A ratio of 10 to 1 estimates about the 90th percentile.
constexpr double kPrefillRiseWeight = 0.1;
constexpr double kPrefillFallWeight = 0.01;
constexpr double kMeanCallWeight = 0.02;
/// With fewer waiting calls their mean age is mostly chance.
constexpr uint32_t kMinWaiting = 3;

constexpr double kRatioWeight = 0.15;
constexpr double kMaxRatio = 8;
constexpr Ms kRatioHalfLife{6000};
/// A service is under usual load up to this multiple of its base.
constexpr double kCalmFactor = 1.4;
/// Factors from 1 / 1.35 to 1.35 count as equal speed.
constexpr double kEqualSpeedFactor = 1.35;

double HalfLifeWeight(Ms age, Ms half_life) {
  if (age <= Ms{0}) return 1;
  return std::exp2(-age.Seconds() / half_life.Seconds());
}

void UpdateMean(double& mean, double sample) {
  mean = mean == 0 ? sample : mean + kMeanCallWeight * (sample - mean);
}

}  // namespace

double PrefillMs(const ServiceSpeed& speed, double tokens) {
  if (speed.prefill_tokens_per_s <= 0) return 0;
  return 1000 * tokens / speed.prefill_tokens_per_s;
}

void AddSample(LoadedFigure& figure, double sample, Ms now) {
  const bool is_valid = sample > 0 && sample < kMaxSampleMs;
  if (!is_valid) return;
  const Ms since = std::max(now - figure.sampled_at, Ms{0});
  const double by_time = 1 - std::exp(-since.Seconds() / kRecentSpan.Seconds());
  ++figure.samples;
  const double by_count = 1.0 / figure.samples;
  const double weight =
      std::max(std::min(by_time, 0.5), std::max(kMinWeight, by_count));
  figure.recent += weight * (sample - figure.recent);
  figure.sampled_at = now;
  if (figure.samples <= kSamplesForBase) {
    figure.base = figure.recent;
    return;
  }
  const double excess = figure.recent - figure.base;
  const double rise = std::min(since.Seconds() / kBaseRiseTime.Seconds(), 1.0);
  figure.base += (excess < 0 ? kBaseFallWeight : rise) * excess;
}

double RecentAt(const LoadedFigure& figure, Ms now) {
  const double weight =
      HalfLifeWeight(now - figure.sampled_at, kRecentHalfLife);
  return figure.base + weight * (figure.recent - figure.base);
}

void RecordFirstEvent(ServiceSpeed& speed, const FirstEvent& event, Ms now) {
  const bool is_valid = event.span > Ms{0} &&
                        static_cast<double>(event.span.count) < kMaxSampleMs;
  if (!is_valid) return;
  const auto tokens = static_cast<double>(event.prefill_tokens);
  UpdateMean(speed.mean_prefill_tokens, tokens);
  if (event.prefill_tokens >= kMinPrefillTokens) {
    const double sample = tokens / event.span.Seconds();
    double& known = speed.prefill_tokens_per_s;
    const double weight =
        sample > known ? kPrefillRiseWeight : kPrefillFallWeight;
    known = known == 0 ? sample : known + weight * (sample - known);
  }
  const double wait =
      static_cast<double>(event.span.count) - PrefillMs(speed, tokens);
  AddSample(speed.wait_ms, std::max(wait, 1.0), now);
}

void RecordOutput(ServiceSpeed& speed, double tokens) {
  if (tokens > 0) UpdateMean(speed.mean_output_tokens, tokens);
}

double IdleTurnMs(const ServiceSpeed& speed) {
  const double tokens = std::max(speed.mean_output_tokens, 1.0);
  return speed.wait_ms.base + PrefillMs(speed, speed.mean_prefill_tokens) +
         tokens * speed.unit_ms.base;
}

double ExpectedTurnMs(const ServiceSpeed& speed, double prefill_tokens,
                      Ms now) {
  const double tokens = std::max(speed.mean_output_tokens, 1.0);
  return RecentAt(speed.wait_ms, now) + PrefillMs(speed, prefill_tokens) +
         tokens * RecentAt(speed.unit_ms, now);
}

double SlowdownOf(const ServiceSpeed& speed, const WaitingCalls& waiting,
                  Ms now) {
  const bool is_known = speed.unit_ms.samples > kSamplesForBase &&
                        speed.wait_ms.samples > kSamplesForBase;
  if (!is_known) return 1;
  const double prefill = PrefillMs(speed, speed.mean_prefill_tokens);
  double wait = RecentAt(speed.wait_ms, now);
  if (waiting.count >= kMinWaiting) {
    wait =
        std::max(wait, static_cast<double>(waiting.mean_age.count) - prefill);
  }
  const double tokens = std::max(speed.mean_output_tokens, 1.0);
  const double at_present =
      wait + prefill + tokens * RecentAt(speed.unit_ms, now);
  return std::max(at_present / IdleTurnMs(speed), 1.0);
}

bool ShowsSpeed(const LoadedFigure& unit_ms) {
  return unit_ms.recent <= kCalmFactor * unit_ms.base;
}

void AddRatio(RelativeSpeed& speed, double ratio, Ms now) {
  const bool is_valid = ratio > 0 && std::isfinite(ratio);
  if (!is_valid) return;
  const double known = FactorAt(speed, now);
  speed.factor = known + kRatioWeight * (std::min(ratio, kMaxRatio) - known);
  speed.sampled_at = now;
}

void HoldRatio(RelativeSpeed& speed, Ms now) { speed.sampled_at = now; }

double FactorAt(const RelativeSpeed& speed, Ms now) {
  const double weight = HalfLifeWeight(now - speed.sampled_at, kRatioHalfLife);
  return 1 + weight * (speed.factor - 1);
}

double PlacementFactor(double factor) {
  const bool is_equal =
      factor < kEqualSpeedFactor && factor * kEqualSpeedFactor > 1;
  return is_equal ? 1 : factor;
}

}  // namespace knapweed
