#ifndef KNAPWEED_POLICY_WORKING_SET_H_
#define KNAPWEED_POLICY_WORKING_SET_H_

#include <cstdint>
#include <limits>

#include "knapweed/base/clock.h"

namespace knapweed {

/// Constants of the working-set gate.
struct WorkingSetOptions {
  /// Share of the caches' size at which the limit starts.
  double start_share = 0.95;
  /// Shares of cacheable tokens computed again, above which the limit shrinks
  /// and below which it grows.
  double high_miss_share = 0.04;
  double low_miss_share = 0.02;
  double shrink_factor = 0.98;
  double growth_factor = 1.01;
  /// Least time between two changes, so that the effect of one is seen.
  Ms min_change_interval{3000};
  /// Weight of the newest answer in the mean.
  double newest_weight = 0.02;
};

/// Bounds the histories of the programs that one entry has under way. When they
/// outgrow the engines' caches, each turn computes its history again, turns
/// take longer, and still more programs are under way: throughput collapses.
/// The gate notices the first such turns and lets new programs wait until some
/// have ended.
struct WorkingSetGate {
  double limit_tokens = std::numeric_limits<double>::infinity();
  double miss_share = 0;
  Ms changed_at;
};

/// A gate for an entry whose part of the engines' caches holds this many
/// tokens; without a limit when that is not known.
WorkingSetGate MakeWorkingSetGate(uint64_t cache_tokens,
                                  const WorkingSetOptions& options = {});

/// Takes what the answer to a later turn of a program reported (the first finds
/// nothing of its own): of `cacheable` history tokens, `cached` were
/// found. `live_tokens` is the history of all programs under way here.
void UpdateWorkingSetGate(WorkingSetGate& gate, uint64_t cacheable,
                          uint64_t cached, double live_tokens, Ms now,
                          const WorkingSetOptions& options = {});

/// Whether a new program may start beside those under way. Later turns of a
/// program never wait at the gate.
bool MayStartProgram(const WorkingSetGate& gate, double live_tokens);

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_WORKING_SET_H_
