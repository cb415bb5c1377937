#ifndef KNAPWEED_POLICY_PLACEMENT_H_
#define KNAPWEED_POLICY_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <span>

#include "knapweed/base/clock.h"

namespace knapweed {

inline constexpr uint32_t kNoUpstream = UINT32_MAX;

/// What is known of one upstream when a call is placed; freshest of answer,
/// heartbeat and report.
struct UpstreamView {
  uint32_t index = 0;
  uint32_t domain = 0;
  bool usable = true;
  /// Tokens of work queued and running before a new call.
  uint64_t queued_prefill_tokens = 0;
  uint64_t queued_decode_tokens = 0;
  uint32_t running = 0;
  uint32_t queued = 0;
  /// Sequences that the engine decodes at once.
  uint32_t slots = 1;
  double prefill_tokens_per_s = 1;
  /// Rate of a sequence that decodes alone.
  double decode_tokens_per_s = 1;
  /// Share by which each further sequence in the batch lengthens a decode step.
  double batch_slowdown = 0.03;
  /// Tokens of this call's prompt that are believed to be cached there.
  uint64_t cached_tokens = 0;
  /// Age of the load figures.
  Ms view_age;
};

/// The call that is to be placed.
struct PlacementCall {
  uint64_t prompt_tokens = 0;
  uint64_t expected_output_tokens = 0;
  uint32_t domain = 0;
  /// Index of the upstream that ran the last turn, or kNoUpstream.
  uint32_t home = kNoUpstream;
  uint64_t random = 0;
};

/// Constants of the decision.
struct PlacementOptions {
  /// Added for an upstream in another failure domain than the call's entry.
  Ms cross_domain_penalty{3};
  /// Another upstream must beat home by this and by `home_bonus_share` of
  /// home's finish.
  Ms home_bonus{50};
  double home_bonus_share = 0.1;
  /// Age at which a load view counts for one half, the candidates' mean for the
  /// other.
  Ms view_half_life{2000};
  /// Delay, in seconds per second of prefill here, that a call is charged for
  /// each sequence that its prefill holds up.
  double prefill_interference_weight = 0.1;
};

/// `expected_finish` counts from now. `index` is kNoUpstream when no candidate
/// is usable.
struct Placement {
  uint32_t index = kNoUpstream;
  Ms expected_finish;
};

/// The parts of a call's expected time at one upstream, in seconds.
struct FinishEstimate {
  double wait_s = 0;
  double prefill_s = 0;
  double decode_s = 0;
  double Total() const { return wait_s + prefill_s + decode_s; }
};

/// What the call would take at `upstream` if its view were exact.
FinishEstimate EstimateFinish(const PlacementCall& call,
                              const UpstreamView& upstream);

/// Picks the upstream with the least expected finish; equal ones are told apart
/// by `call.random`. Allocates nothing.
Placement PlaceCall(const PlacementCall& call,
                    std::span<const UpstreamView> candidates,
                    const PlacementOptions& options = {});

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_PLACEMENT_H_
