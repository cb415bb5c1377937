#include "knapweed/policy/pins.h"

#include <algorithm>
#include <cmath>

namespace knapweed {

void RecordToolTime(ToolTimes& times, Ms tool_time, const PinOptions& options) {
  ++times.n;
  // Starts as a plain mean, so that a single outlier does not dominate.
  const double weight =
      std::max(options.newest_weight, 1.0 / static_cast<double>(times.n));
  times.mean_s += weight * (tool_time.Seconds() - times.mean_s);
}

Ms ExpectedRemaining(const ToolTimes& times, Ms idle,
                     const PinOptions& options) {
  const Ms mean = times.n == 0 ? options.first_tool_time
                               : Ms{std::llround(times.mean_s * 1000)};
  return std::max(mean - idle, idle);
}

double CacheHoldingCost(const EngineCacheState& cache) {
  if (cache.capacity_tokens == 0) return 0;
  const double turnover =
      cache.eviction_tokens_per_s / static_cast<double>(cache.capacity_tokens);
  return turnover / cache.prefill_tokens_per_s;
}

PinDecision DecidePin(const PinCall& call, const EngineCacheState& cache,
                      const PinOptions& options) {
  if (call.state != ProgramState::kPaused) return {};
  const double budget =
      options.budget_share * static_cast<double>(cache.capacity_tokens);
  if (static_cast<double>(cache.pinned_tokens + call.tokens) > budget) {
    return {};
  }
  const auto tokens = static_cast<double>(call.tokens);
  const double hold_cost =
      call.expected_remaining.Seconds() * tokens * CacheHoldingCost(cache);
  const double recompute_cost = tokens / cache.prefill_tokens_per_s;
  if (hold_cost * options.margin >= recompute_cost) return {};
  return {true, std::min(options.lease, call.expected_remaining * 2)};
}

}  // namespace knapweed
