#include "knapweed/policy/pins.h"

#include <algorithm>
#include <cmath>

namespace knapweed {

void RecordToolTime(ToolTimes& times, Ms tool_time, const PinOptions& options) {
  ++times.n;
  // A plain mean at first, so that one odd time doesn't set it.
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

double CacheHoldingCost(const EngineCacheState& memory) {
  if (memory.capacity_tokens == 0) return 0;
  const double turnover = memory.eviction_tokens_per_s /
                          static_cast<double>(memory.capacity_tokens);
  return turnover / memory.prefill_tokens_per_s;
}

PinDecision DecidePin(const PinCall& call, const EngineCacheState& memory,
                      const PinOptions& options) {
  if (call.state != ProgramState::kPaused) return {};
  const double budget =
      options.budget_share * static_cast<double>(memory.capacity_tokens);
  if (static_cast<double>(memory.pinned_tokens + call.tokens) > budget) {
    return {};
  }
  const auto tokens = static_cast<double>(call.tokens);
  const double hold_cost =
      call.expected_remaining.Seconds() * tokens * CacheHoldingCost(memory);
  const double recompute_cost = tokens / memory.prefill_tokens_per_s;
  if (hold_cost * options.margin >= recompute_cost) return {};
  return {true, std::min(options.lease, call.expected_remaining * 2)};
}

}  // namespace knapweed
