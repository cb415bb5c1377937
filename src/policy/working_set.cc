#include "knapweed/policy/working_set.h"

#include <algorithm>

namespace knapweed {

WorkingSetGate MakeWorkingSetGate(uint64_t cache_tokens,
                                  const WorkingSetOptions& options) {
  WorkingSetGate gate;
  if (cache_tokens == 0) return gate;
  gate.limit_tokens = options.start_share * static_cast<double>(cache_tokens);
  return gate;
}

void UpdateWorkingSetGate(WorkingSetGate& gate, uint64_t cacheable,
                          uint64_t cached, double live_tokens, Ms now,
                          const WorkingSetOptions& options) {
  if (cacheable == 0) return;
  const double hit = static_cast<double>(std::min(cached, cacheable)) /
                     static_cast<double>(cacheable);
  gate.miss_share += options.newest_weight * (1 - hit - gate.miss_share);
  if (now - gate.changed_at < options.min_change_interval) return;
  if (gate.miss_share > options.high_miss_share) {
    gate.limit_tokens =
        options.shrink_factor * std::min(gate.limit_tokens, live_tokens);
    gate.changed_at = now;
  } else if (gate.miss_share < options.low_miss_share) {
    // Grows only when the limit is nearly reached: an unused limit does not
    // show what would fit in the caches.
    if (live_tokens < gate.limit_tokens * 0.9) return;
    gate.limit_tokens *= options.growth_factor;
    gate.changed_at = now;
  }
}

bool MayStartProgram(const WorkingSetGate& gate, double live_tokens) {
  return live_tokens <= 0 || live_tokens < gate.limit_tokens;
}

}  // namespace knapweed
