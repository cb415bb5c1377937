#ifndef KNAPWEED_POLICY_PINS_H_
#define KNAPWEED_POLICY_PINS_H_

#include <cstdint>

#include "knapweed/base/clock.h"

namespace knapweed {

/// Constants of pins.
struct PinOptions {
  /// Share of an engine's cache that pins may hold.
  double budget_share = 0.7;
  /// Longest lease of a pin.
  Ms lease{15000};
  /// Holding must be cheaper than computing again by this factor: what a pin
  /// keeps out may be wanted sooner.
  double margin = 16;
  /// Assumed tool time before any was seen.
  Ms first_tool_time{5000};
  /// Weight of the newest tool time in the mean.
  double newest_weight = 0.05;
};

/// Mean tool time of one workspace.
struct ToolTimes {
  double mean_s = 0;
  uint64_t n = 0;
};

void RecordToolTime(ToolTimes& times, Ms tool_time,
                    const PinOptions& options = {});

/// Expected time until a program that has waited for `idle` comes back. Tool
/// times are heavy-tailed: once one has outlasted the mean, the rest is
/// expected to be as long as what has passed.
Ms ExpectedRemaining(const ToolTimes& times, Ms idle,
                     const PinOptions& options = {});

/// The cache of one engine. `eviction_tokens_per_s` is how fast new prefixes
/// push old ones out, zero while there is free room.
struct EngineCacheState {
  uint64_t capacity_tokens = 0;
  uint64_t pinned_tokens = 0;
  double eviction_tokens_per_s = 0;
  double prefill_tokens_per_s = 1;
};

/// What keeps a cached token for a second costs, in seconds of prefill
/// elsewhere: a share of the cache held back is that share of the refill lost.
double CacheHoldingCost(const EngineCacheState& memory);

/// What an owner knows of a program whose cache could be kept.
enum class ProgramState : uint8_t {
  kRunning,
  kPaused,
  kEnded,
  kLooping,
  kLost,
};

struct PinCall {
  ProgramState state = ProgramState::kPaused;
  uint64_t tokens = 0;
  Ms expected_remaining;
};

/// `lease` is how long the pin holds without a renewal.
struct PinDecision {
  bool pin = false;
  Ms lease;
};

/// Holds a paused program's cache while expected tool time x memory price is
/// well below the cost of computing it again, and within the pin budget. Never
/// for a program that ended, loops or is lost.
PinDecision DecidePin(const PinCall& call, const EngineCacheState& memory,
                      const PinOptions& options = {});

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_PINS_H_
