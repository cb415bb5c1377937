#include "knapweed/gateway/permit_book.h"

#include <algorithm>
#include <cmath>

namespace knapweed::gateway {
namespace {

/// Two readings of a clock in whole milliseconds differ by up to one more than
/// the time between them, at each end.
constexpr Ms kClockRounding{2};
/// More than any workspace uses; keeps the numbers that follow in range.
constexpr double kMaxPermits = 1e9;

/// Returns the permits of one slot: they add up to `all` over a group.
size_t PartOf(size_t all, size_t position) {
  const size_t extra = position < all % kSlotsPerGroup ? 1 : 0;
  return all / kSlotsPerGroup + extra;
}

}  // namespace

Ms PermitSpan(const QuotaTolerance& tolerance) {
  return tolerance.window + kPermitTimeout + kClockRounding;
}

size_t PermitsOf(const Workspace& workspace, const QuotaTolerance& tolerance) {
  const double limit =
      workspace.rate_per_s * tolerance.window.Seconds() + workspace.burst;
  const double tolerated =
      limit * (1 + tolerance.over_share) + tolerance.slack_calls;
  return static_cast<size_t>(std::clamp(tolerated, 0.0, kMaxPermits));
}

PermitBook::PermitBook(const Clock& clock, RateSlots& slots,
                       QuotaTolerance tolerance)
    : clock_(clock), slots_(slots), tolerance_(tolerance) {}

void PermitBook::SetTolerance(QuotaTolerance tolerance) {
  tolerance_ = tolerance;
  slots_.SetRest(PermitSpan(tolerance));
}

PermitGrant PermitBook::Grant(const Workspace& workspace) {
  PermitGrant answer;
  const Ms now = clock_.Now();
  const Ms span = PermitSpan(tolerance_);
  const size_t all = PermitsOf(workspace, tolerance_);
  const size_t first = FirstSlotOf(workspace.name);
  Windows& windows = windows_[workspace.name];
  answer.retry_after = span;
  for (size_t i = 0; i < kSlotsPerGroup; ++i) {
    if (!slots_.MayGrant(first + i, now)) continue;
    answer.holds = true;
    const size_t most = PartOf(all, i);
    PermitWindow& window = windows[i];
    if (!answer.granted && window.Take(next_id_, most, span, now)) {
      answer.granted = true;
      answer.id = next_id_++;
      slots_.RecordGrant(first + i, now);
    }
    const size_t used = window.Count(span, now);
    answer.left += most > used ? most - used : 0;
    const Ms next = window.UntilNextFree(span, now).value_or(span);
    answer.retry_after = std::min(answer.retry_after, next);
  }
  return answer;
}

void PermitBook::Return(const std::string& workspace, uint64_t id) {
  const auto it = windows_.find(workspace);
  if (it == windows_.end()) return;
  for (PermitWindow& window : it->second) window.Return(id);
}

GrantedBySlot PermitBook::Granted() {
  GrantedBySlot granted;
  for (auto& [name, windows] : windows_) {
    for (size_t i = 0; i < kSlotsPerGroup; ++i) {
      const size_t n = windows[i].Count(PermitSpan(tolerance_), clock_.Now());
      if (n > 0) granted[name][i] = static_cast<uint32_t>(n);
    }
  }
  return granted;
}

void PermitBook::Restore(const GrantedBySlot& granted) {
  for (const auto& [name, counts] : granted) {
    for (size_t i = 0; i < kSlotsPerGroup; ++i) {
      windows_[name][i].Restore(next_id_, counts[i], clock_.Now());
      next_id_ += counts[i];
    }
  }
}

void PermitBook::RemoveIdle() {
  const Ms now = clock_.Now();
  const Ms span = PermitSpan(tolerance_);
  std::erase_if(windows_, [&](const auto& item) {
    return std::all_of(
        item.second.begin(), item.second.end(),
        [&](const PermitWindow& window) { return window.IsEmpty(span, now); });
  });
}

}  // namespace knapweed::gateway
