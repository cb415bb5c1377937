#ifndef KNAPWEED_POLICY_PINS_H_
#define KNAPWEED_POLICY_PINS_H_

#include <cstdint>

#include "knapweed/base/clock.h"

namespace knapweed {

/// Parameters of pinning KV caches.
struct PinOptions {
  /// Share of an engine's cache that pins may occupy.
  double budget_share = 0.7;
  /// Maximum lease of a pin.
  Ms lease{15000};
  /// A pin must be cheaper than recomputing by this factor, because the content
  /// that it displaces may be needed sooner.
  double margin = 16;
  /// Assumed tool time before the first measurement.
  Ms first_tool_time{5000};
  /// Weight of the newest tool time in the moving average.
  double newest_weight = 0.05;
};

/// Mean tool time of one workspace.
struct ToolTimes {
  double mean_s = 0;
  uint64_t n = 0;
};

/// Adds a measured tool time to the mean.
void RecordToolTime(ToolTimes& times, Ms tool_time,
                    const PinOptions& options = {});

/// Returns the expected remaining tool time of a program that has been waiting
/// for `idle`. Tool times are heavy-tailed: once one exceeds the mean, the
/// remaining time is expected to equal the elapsed time.
Ms ExpectedRemaining(const ToolTimes& times, Ms idle,
                     const PinOptions& options = {});

/// The KV cache of one engine. `eviction_tokens_per_s` is the rate at which new
/// prefixes evict old ones, zero while the cache has free room.
struct EngineCacheState {
  uint64_t capacity_tokens = 0;
  uint64_t pinned_tokens = 0;
  double eviction_tokens_per_s = 0;
  double prefill_tokens_per_s = 1;
};

/// Returns the cost of keeping one token in the cache for one second, in
/// seconds of prefill. Pinning a share of the cache causes that share of the
/// evicted tokens to be recomputed.
double CacheHoldingCost(const EngineCacheState& cache);

/// The state of a program as seen by its owner.
enum class ProgramState : uint8_t {
  kRunning,
  kPaused,
  kEnded,
  kLooping,
  kLost,
};

/// The program whose cache could be pinned, with its cached tokens and the
/// expected time until its next turn.
struct PinCall {
  ProgramState state = ProgramState::kPaused;
  uint64_t tokens = 0;
  Ms expected_remaining;
};

/// The outcome of a pin decision. `lease` is how long the pin lasts without
/// renewal.
struct PinDecision {
  bool pin = false;
  Ms lease;
};

/// Pins the cache of a paused program if expected tool time x holding cost is
/// well below the cost of recomputing (see `PinOptions::margin`) and the pins
/// stay within their budget. Programs that run, have ended, loop or are lost
/// are not pinned.
PinDecision DecidePin(const PinCall& call, const EngineCacheState& cache,
                      const PinOptions& options = {});

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_PINS_H_
