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

/// Returns the permits of a slot's part that may be granted beyond those
/// announced.
size_t GrantAheadOf(size_t part) {
  return (part + kGrantAheadDivisor - 1) / kGrantAheadDivisor;
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
    : clock_(clock),
      slots_(slots),
      tolerance_(tolerance),
      complete_from_(clock.Now() + PermitSpan(tolerance)) {}

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
  Windows& windows = WindowsOf(workspace.name, all);
  // A later process does not rely on an older announcement.
  const bool stays_close = announced_until_.has_value() &&
                           last_sent_.has_value() &&
                           now - *last_sent_ <= kGrantAheadTime;
  answer.retry_after = span;
  for (size_t i = 0; i < kSlotsPerGroup; ++i) {
    if (!slots_.MayGrant(first + i, now)) continue;
    answer.holds = true;
    PermitWindow& window = windows[i];
    const size_t part = PartOf(all, i);
    size_t most = part;
    if (stays_close) {
      const size_t used = window.Count(span, now);
      const size_t ahead = window.CountAfter(*announced_until_);
      most = std::min(part, used - ahead + GrantAheadOf(part));
    }
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

void PermitBook::OnAnnouncing(Ms at) {
  sent_before_ = last_sent_;
  last_sent_ = at;
}

void PermitBook::OnAnnounceEnded(StoreOutcome outcome) {
  // Permits of the same millisecond may have been granted after it was built.
  const bool confirmed =
      outcome == StoreOutcome::kDone && last_sent_.has_value();
  if (confirmed) announced_until_ = *last_sent_ - Ms{1};
  const bool can_not_be_read =
      outcome == StoreOutcome::kNotDone || outcome == StoreOutcome::kBusy ||
      outcome == StoreOutcome::kConflict || outcome == StoreOutcome::kRejected;
  if (can_not_be_read) last_sent_ = sent_before_;
}

std::optional<GrantedBySlot> PermitBook::Granted() {
  if (clock_.Now() <= complete_from_) return std::nullopt;
  GrantedBySlot granted;
  // Of workspaces that have not called again yet.
  const bool is_restored = clock_.Now() <= restored_until_;
  if (is_restored) granted = restored_;
  for (auto& [name, windows] : windows_) {
    for (size_t i = 0; i < kSlotsPerGroup; ++i) {
      const size_t n = windows[i].Count(PermitSpan(tolerance_), clock_.Now());
      if (n > 0 || is_restored) {
        granted[name][i] = static_cast<uint32_t>(n);
      }
    }
  }
  return granted;
}

void PermitBook::Restore(GrantedBySlot granted, bool had_stopped) {
  // Requests that came before it could grant have left empty windows.
  windows_.clear();
  restored_ = std::move(granted);
  granted_ahead_ = !had_stopped;
  restored_at_ = clock_.Now();
  restored_until_ = restored_at_ + PermitSpan(tolerance_);
  if (had_stopped) complete_from_ = Ms{0};
}

PermitBook::Windows& PermitBook::WindowsOf(const std::string& workspace,
                                           size_t all) {
  const auto [it, is_new] = windows_.try_emplace(workspace);
  Windows& windows = it->second;
  if (!is_new || clock_.Now() > restored_until_) return windows;
  std::array<uint32_t, kSlotsPerGroup> counts{};
  const auto restored = restored_.find(workspace);
  if (restored != restored_.end()) counts = restored->second;
  for (size_t i = 0; i < kSlotsPerGroup; ++i) {
    const size_t ahead = granted_ahead_ ? GrantAheadOf(PartOf(all, i)) : 0;
    const size_t n = counts[i] + ahead;
    windows[i].Restore(next_id_, n, restored_at_);
    next_id_ += n;
  }
  return windows;
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
