#ifndef KNAPWEED_POLICY_WORKING_SET_H_
#define KNAPWEED_POLICY_WORKING_SET_H_

#include <cstdint>
#include <limits>

#include "knapweed/base/clock.h"

namespace knapweed {

/// Parameters of the working-set gate.
struct WorkingSetOptions {
  /// Initial limit, as a share of the total size of the caches.
  double start_share = 0.95;
  /// Miss shares, of cacheable tokens, above which the limit shrinks and below
  /// which it grows.
  double high_miss_share = 0.04;
  double low_miss_share = 0.02;
  double shrink_factor = 0.98;
  double growth_factor = 1.01;
  /// Minimum time between two changes of the limit, so that the effect of one
  /// can be observed.
  Ms min_change_interval{3000};
  /// Weight of the newest response in the moving average of the miss share.
  double newest_weight = 0.02;
};

/// Limits the total history tokens of the programs that one entry runs
/// concurrently. When the histories exceed the engines' caches, turns recompute
/// their histories and take longer, so that more programs run at once: cache
/// thrashing, and throughput collapses. When the miss share rises, the gate
/// lowers its limit, and new programs wait until some have ended.
struct WorkingSetGate {
  double limit_tokens = std::numeric_limits<double>::infinity();
  double miss_share = 0;
  Ms changed_at;
};

/// Returns a gate for an entry whose share of the engines' caches holds
/// `cache_tokens` tokens. If that is zero (unknown), the gate starts without a
/// limit.
WorkingSetGate MakeWorkingSetGate(uint64_t cache_tokens,
                                  const WorkingSetOptions& options = {});

/// Updates the miss share and the limit from the response to a turn: of
/// `cacheable` history tokens, `cached` were found. Not for the first turn of a
/// program, which has no cached history. `live_tokens` is the total history of
/// all running programs of this entry.
void UpdateWorkingSetGate(WorkingSetGate& gate, uint64_t cacheable,
                          uint64_t cached, double live_tokens, Ms now,
                          const WorkingSetOptions& options = {});

/// Returns whether a new program may start. Later turns of a program are never
/// held at the gate.
bool MayStartProgram(const WorkingSetGate& gate, double live_tokens);

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_WORKING_SET_H_
