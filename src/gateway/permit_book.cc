#include "knapweed/gateway/permit_book.h"

#include <algorithm>
#include <cmath>

namespace knapweed::gateway {
namespace {

/// Two readings of a clock in whole milliseconds differ by up to one more than
/// the time between them, at each end, and the window is rounded down.
constexpr Ms kRounding{3};
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
  return tolerance.window + kPermitTimeout + kRounding;
}

size_t PermitsOf(const Workspace& workspace, const QuotaTolerance& tolerance) {
  const double limit =
      workspace.rate_per_s * tolerance.window.Seconds() + workspace.burst;
  const double tolerated =
      limit * (1 + tolerance.over_share) + tolerance.slack_calls;
  return static_cast<size_t>(std::clamp(tolerated, 0.0, kMaxPermits));
}

PermitBook::PermitBook(const Clock& clock, RateSlots& slots,
                       QuotaTolerance tolerance, uint64_t first_id)
    : clock_(clock),
      slots_(slots),
      tolerance_(tolerance),
      complete_from_(clock.Now() + PermitSpan(tolerance)),
      next_id_(first_id) {}

void PermitBook::SetTolerance(QuotaTolerance tolerance) {
  tolerance_ = tolerance;
  slots_.SetRest(PermitSpan(tolerance));
}

size_t PermitBook::MostInUse(PermitWindow& window, size_t part, Ms now) const {
  const bool may_be_relied_on = announced_until_.has_value() &&
                                last_sent_.has_value() &&
                                now - *last_sent_ <= kGrantAheadTime;
  if (!may_be_relied_on) return part;
  const size_t used = window.Count(PermitSpan(tolerance_), now);
  const size_t unannounced = window.CountAfter(*announced_until_);
  return std::min(part, used - unannounced + GrantAheadOf(part));
}

PermitGrant PermitBook::Grant(const Workspace& workspace) {
  PermitGrant answer;
  const Ms now = clock_.Now();
  const Ms span = PermitSpan(tolerance_);
  const size_t all = PermitsOf(workspace, tolerance_);
  const size_t first = FirstSlotOf(workspace.name);
  Windows& windows = WindowsOf(workspace.name, all);
  answer.retry_after = span;
  for (size_t i = 0; i < kSlotsPerGroup; ++i) {
    if (!slots_.MayGrant(first + i, now)) continue;
    answer.holds = true;
    PermitWindow& window = windows[i];
    const size_t most = MostInUse(window, PartOf(all, i), now);
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

std::optional<AnnouncedGrants> PermitBook::Granted() {
  const Ms now = clock_.Now();
  if (now <= complete_from_) return std::nullopt;
  AnnouncedGrants granted;
  for (auto& [name, windows] : windows_) {
    for (uint32_t i = 0; i < kSlotsPerGroup; ++i) {
      if (windows[i].Count(PermitSpan(tolerance_), now) == 0) continue;
      std::vector<AnnouncedPermits>& list = granted[name];
      for (const Ms at : windows[i].Times()) {
        const auto steps =
            static_cast<uint32_t>((now - at).count / kAgeStep.count);
        const bool is_same = !list.empty() && list.back().slot == i &&
                             list.back().age_steps == steps;
        if (!is_same) list.push_back({i, steps, 0});
        ++list.back().count;
      }
    }
  }
  return granted;
}

void PermitBook::Restore(EarlierGrants earlier) {
  // Requests that came before it could grant have left empty windows.
  windows_.clear();
  earlier_ = std::move(earlier);
  if (!earlier_->had_stopped) return;
  complete_from_ = Ms{0};
  for (const auto& [name, list] : earlier_->granted) {
    RestoreAnnounced(name, windows_[name]);
  }
}

void PermitBook::RestoreAnnounced(const std::string& workspace,
                                  Windows& windows) {
  const auto list = earlier_->granted.find(workspace);
  if (list == earlier_->granted.end()) return;
  for (const AnnouncedPermits& permits : list->second) {
    const Ms latest = earlier_->announced_at + kMaxClockError -
                      kAgeStep * static_cast<int64_t>(permits.age_steps);
    const Ms at = std::min(latest, earlier_->ended_at);
    windows[permits.slot].Restore(next_id_, permits.count, at);
    next_id_ += permits.count;
  }
}

PermitBook::Windows& PermitBook::WindowsOf(const std::string& workspace,
                                           size_t all) {
  const auto [it, is_new] = windows_.try_emplace(workspace);
  Windows& windows = it->second;
  const bool counts_earlier =
      is_new && earlier_.has_value() && !earlier_->had_stopped &&
      clock_.Now() <= earlier_->ended_at + PermitSpan(tolerance_);
  if (!counts_earlier) return windows;
  RestoreAnnounced(workspace, windows);
  for (size_t i = 0; i < kSlotsPerGroup; ++i) {
    const size_t ahead = GrantAheadOf(PartOf(all, i));
    windows[i].Restore(next_id_, ahead, earlier_->ended_at);
    next_id_ += ahead;
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
