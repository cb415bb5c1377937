#ifndef KNAPWEED_POLICY_LOAD_VIEW_H_
#define KNAPWEED_POLICY_LOAD_VIEW_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "knapweed/base/clock.h"
#include "knapweed/policy/placement.h"

namespace knapweed {

/// Load figures of an upstream, from a response, a heartbeat or the periodic
/// report, which lags. `as_of` is when they were measured, on the receiver's
/// clock.
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

/// A call that this entry has dispatched and that the latest load report may
/// not include yet.
struct OwnDispatch {
  Ms at;
  uint32_t prefill_tokens = 0;
  uint32_t decode_tokens = 0;
};

/// The load of one upstream as seen by one entry: the newest report, and the
/// entry's own dispatches after that report. Plain data of fixed size.
struct LoadView {
  static constexpr size_t kMaxOwn = 16;

  LoadReport report;
  std::array<OwnDispatch, kMaxOwn> own;
  uint32_t own_count = 0;
};

/// Stores a report unless it is older than the stored one, and drops the own
/// dispatches that it must already include. Returns false for an older report.
bool ApplyLoadReport(LoadView& view, const LoadReport& report);

/// Adds an own dispatch, which counts until a report includes it. When kMaxOwn
/// are stored, the two oldest are merged.
void AddOwnDispatch(LoadView& view, const OwnDispatch& dispatch);

/// Writes the load figures to `upstream`; its other fields stay unchanged.
void FillLoad(const LoadView& view, Ms now, UpstreamView& upstream);

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_LOAD_VIEW_H_
