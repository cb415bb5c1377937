#ifndef KNAPWEED_POLICY_PLACEMENT_H_
#define KNAPWEED_POLICY_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <span>

#include "knapweed/base/clock.h"

namespace knapweed {

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
  uint32_t slots = 1;
  double prefill_tokens_per_s = 1;
  double decode_tokens_per_s = 1;
  /// Tokens of this call's prompt that are believed to be cached there.
  uint64_t cached_tokens = 0;
  Ms view_age;
};

/// The call that is to be placed.
struct PlacementCall {
  uint64_t prompt_tokens = 0;
  uint64_t expected_output_tokens = 0;
  uint32_t domain = 0;
  /// Index of the upstream that ran the last turn, or kNoUpstream.
  uint32_t home = 0;
  uint64_t random = 0;
};

inline constexpr uint32_t kNoUpstream = UINT32_MAX;

struct Placement {
  uint32_t index = kNoUpstream;
  Ms expected_finish;
};

/// Picks the upstream with the least expected finish. Allocates nothing.
Placement PlaceCall(const PlacementCall& call,
                    std::span<const UpstreamView> candidates);

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_PLACEMENT_H_
