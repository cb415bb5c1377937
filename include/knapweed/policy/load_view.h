#ifndef KNAPWEED_POLICY_LOAD_VIEW_H_
#define KNAPWEED_POLICY_LOAD_VIEW_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "knapweed/base/clock.h"
#include "knapweed/policy/placement.h"

namespace knapweed {

/// Load figures of an upstream, from an answer, a heartbeat or the lagging
/// report. `as_of` is when they were true, in the receiver's clock.
struct LoadReport {
  Ms as_of;
  uint32_t running = 0;
  uint32_t queued = 0;
  uint32_t slots = 1;
  uint64_t queued_prefill_tokens = 0;
  uint64_t queued_decode_tokens = 0;
  double prefill_tokens_per_s = 1;
  double decode_tokens_per_s = 1;
};

/// A call that this entry sent and that a report may not hold yet.
struct OwnDispatch {
  Ms at;
  uint32_t prefill_tokens = 0;
  uint32_t decode_tokens = 0;
};

/// What an entry knows of one upstream's load. Plain data of fixed size.
struct LoadView {
  static constexpr size_t kMaxOwn = 16;

  LoadReport report;
  std::array<OwnDispatch, kMaxOwn> own;
  uint32_t own_count = 0;
};

/// Takes a report if it is fresher than what is held; own dispatches that it
/// must hold already are forgotten. False when it is older.
bool ApplyLoadReport(LoadView& view, const LoadReport& report);

/// Counts an own dispatch until a report shows it. Beyond kMaxOwn the oldest
/// two are counted as one.
void AddOwnDispatch(LoadView& view, const OwnDispatch& dispatch);

/// Writes the load figures into `upstream` and leaves its other fields alone.
void FillLoad(const LoadView& view, Ms now, UpstreamView& upstream);

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_LOAD_VIEW_H_
