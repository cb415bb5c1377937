#ifndef KNAPWEED_POLICY_PLACEMENT_H_
#define KNAPWEED_POLICY_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "knapweed/base/clock.h"

namespace knapweed {

/// Upstream index that means "none".
inline constexpr uint32_t kNoUpstream = UINT32_MAX;

/// The state of one upstream when a call is placed, from the newest of the
/// latest response, heartbeat and load report.
struct UpstreamView {
  uint32_t index = 0;
  uint32_t domain = 0;
  bool usable = true;
  /// Tokens of the calls that are queued or running ahead of a new call.
  uint64_t queued_prefill_tokens = 0;
  uint64_t queued_decode_tokens = 0;
  uint32_t running = 0;
  uint32_t queued = 0;
  /// Maximum number of sequences that the engine decodes concurrently.
  uint32_t slots = 1;
  double prefill_tokens_per_s = 1;
  /// Decode rate of a sequence that runs alone.
  double decode_tokens_per_s = 1;
  /// Relative increase of the decode step time per additional sequence in the
  /// batch.
  double batch_slowdown = 0.03;
  /// Tokens of the call's prompt that are expected to be cached there.
  uint64_t cached_tokens = 0;
  /// Age of the load figures.
  Ms view_age;
};

/// The call to place.
struct PlacementCall {
  uint64_t prompt_tokens = 0;
  uint64_t expected_output_tokens = 0;
  uint32_t domain = 0;
  /// Index of the upstream that ran the previous turn, or kNoUpstream.
  uint32_t home = kNoUpstream;
  /// Random number that breaks ties.
  uint64_t random = 0;
};

/// Parameters of placement.
struct PlacementOptions {
  /// Penalty for an upstream in another failure domain than the entry that
  /// places the call.
  Ms cross_domain_penalty{3};
  /// Another upstream must be expected to finish earlier than home by at least
  /// this time plus `home_bonus_share` of the time at home.
  Ms home_bonus{50};
  double home_bonus_share = 0.1;
  /// Age at which the load of an upstream and the mean load of all candidates
  /// have equal weight in its expected wait.
  Ms view_half_life{2000};
  /// Cost of delaying other sequences: seconds per second of prefill, for each
  /// running sequence that the prefill of this call delays.
  double prefill_interference_weight = 0.1;
};

/// What a call has in common with calls that prefer the same home.
struct HomeNames {
  /// Stated by the caller; empty if not.
  std::string_view affinity;
  /// The program; empty if the call belongs to none.
  std::string_view program;
};

/// Returns the hash by which all gateways choose the same home among the
/// upstreams of a service; 0 if the call has none. The turns of a program reach
/// different gateways, which don't know where the earlier ones ran, so that
/// without a home each would prefill the program's history anew.
uint64_t HomeHash(const HomeNames& names);

/// The chosen upstream. `expected_finish` is relative to now. `index` is
/// kNoUpstream when no candidate is usable.
struct Placement {
  uint32_t index = kNoUpstream;
  Ms expected_finish;
};

/// The parts of the expected time of a call at one upstream.
struct FinishEstimate {
  double wait_s = 0;
  double prefill_s = 0;
  double decode_s = 0;
  double Total() const { return wait_s + prefill_s + decode_s; }
};

/// Estimates the time of the call at `upstream`, taking its load figures as
/// exact.
FinishEstimate EstimateFinish(const PlacementCall& call,
                              const UpstreamView& upstream);

/// Selects the upstream with the lowest expected finish time, adjusted by the
/// penalties and bonuses in `options`; `call.random` breaks ties. Does not
/// allocate.
Placement PlaceCall(const PlacementCall& call,
                    std::span<const UpstreamView> candidates,
                    const PlacementOptions& options = {});

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_PLACEMENT_H_
