#include "knapweed/policy/placement.h"

#include <algorithm>
#include <cmath>

#include "knapweed/base/ids.h"

namespace knapweed {
namespace {

/// Sample size of the mean load. With more candidates, only every n-th is read.
constexpr size_t kMeanSample = 64;

/// Mean load of the usable candidates, which is blended into load figures the
/// more the older they are.
struct MeanLoad {
  double wait_s = 0;
  uint64_t n = 0;
};

double BatchFactor(const UpstreamView& up, uint32_t batch) {
  return 1 + up.batch_slowdown * (batch > 0 ? batch - 1 : 0);
}

/// Returns the time in seconds until a decode slot is free: the calls that must
/// end first, each with the mean remaining tokens of the present calls,
/// processed by all slots in parallel.
double SlotWait(const UpstreamView& up) {
  const uint32_t resident = up.running + up.queued;
  if (resident < up.slots) return 0;
  const double ahead = resident - up.slots + 1;
  const double tokens = ahead * static_cast<double>(up.queued_decode_tokens);
  return tokens * BatchFactor(up, up.slots) /
         (up.decode_tokens_per_s * resident * up.slots);
}

double WaitOf(const UpstreamView& up) {
  return static_cast<double>(up.queued_prefill_tokens) /
             up.prefill_tokens_per_s +
         SlotWait(up);
}

MeanLoad MeanOf(std::span<const UpstreamView> candidates) {
  MeanLoad mean;
  const size_t step = candidates.size() / kMeanSample + 1;
  for (size_t i = 0; i < candidates.size(); i += step) {
    const UpstreamView& up = candidates[i];
    if (!up.usable) continue;
    mean.wait_s += WaitOf(up);
    ++mean.n;
  }
  if (mean.n > 0) mean.wait_s /= static_cast<double>(mean.n);
  return mean;
}

/// Weight of load figures: 1 when fresh, 1/2 at the half-life.
double ViewWeight(Ms age, Ms half_life) {
  if (age <= Ms{0}) return 1;
  return half_life.Seconds() / (half_life.Seconds() + age.Seconds());
}

/// Hashes the random number with an index, so that each call orders equal
/// upstreams differently.
uint64_t TieRank(uint64_t random, uint32_t index) {
  uint64_t x = random ^ (index + 0x9E3779B97F4A7C15ULL);
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ULL;
  x = (x ^ (x >> 27)) * 0x94D049BB133111EBULL;
  return x ^ (x >> 31);
}

}  // namespace

FinishEstimate EstimateFinish(const PlacementCall& call,
                              const UpstreamView& upstream) {
  const uint64_t cached = std::min(upstream.cached_tokens, call.prompt_tokens);
  const uint32_t batch =
      std::min(upstream.running + upstream.queued + 1, upstream.slots);
  FinishEstimate estimate;
  estimate.wait_s = WaitOf(upstream);
  estimate.prefill_s = static_cast<double>(call.prompt_tokens - cached) /
                       upstream.prefill_tokens_per_s;
  estimate.decode_s = static_cast<double>(call.expected_output_tokens) *
                      BatchFactor(upstream, batch) /
                      upstream.decode_tokens_per_s;
  return estimate;
}

uint64_t HomeHash(const HomeNames& names) {
  if (!names.affinity.empty()) return HashBytes(names.affinity);
  if (!names.program.empty()) return HashBytes(names.program);
  return 0;
}

Placement PlaceCall(const PlacementCall& call,
                    std::span<const UpstreamView> candidates,
                    const PlacementOptions& options) {
  const MeanLoad mean = MeanOf(candidates);
  Placement best;
  double best_s = 0;
  for (const UpstreamView& up : candidates) {
    if (!up.usable) continue;
    FinishEstimate estimate = EstimateFinish(call, up);
    const double view_weight = ViewWeight(up.view_age, options.view_half_life);
    estimate.wait_s =
        view_weight * estimate.wait_s + (1 - view_weight) * mean.wait_s;
    const double finish = estimate.Total();
    const uint32_t held_up = std::min(up.running, up.slots);
    double cost = finish + options.prefill_interference_weight * held_up *
                               estimate.prefill_s;
    if (up.domain != call.domain)
      cost += options.cross_domain_penalty.Seconds();
    if (up.index == call.home) {
      cost -= options.home_bonus.Seconds() + options.home_bonus_share * finish;
    }
    if (best.index != kNoUpstream) {
      const bool tie = std::abs(cost - best_s) < 1e-9;
      const bool better = tie ? TieRank(call.random, up.index) <
                                    TieRank(call.random, best.index)
                              : cost < best_s;
      if (!better) continue;
    }
    best.index = up.index;
    best.expected_finish = Ms{std::llround(finish * 1000)};
    best_s = cost;
  }
  return best;
}

}  // namespace knapweed
