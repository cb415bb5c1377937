#include "knapweed/gateway/crash_probes.h"

#include <algorithm>
#include <string>

#include "knapweed/base/json.h"

namespace knapweed::gateway {
namespace {

constexpr char kTable[] = "probes";
constexpr char kPartPrefix[] = "p";
/// Longer than a quarantine that the last probe has prolonged.
constexpr Ms kRowTtl = Seconds(1500);
/// Time until the store is asked again after it did not answer.
constexpr Ms kRetryAfter = Seconds(2);
/// From this number of postponed requests on, those whose time is over are
/// dropped.
constexpr size_t kDropPostponedFrom = 1024;

RowKey KeyOf(uint64_t digest, size_t number) {
  return {kTable, std::string(kPartPrefix) + "0",
          std::to_string(digest) + "-" + std::to_string(number)};
}

std::optional<Ms> ExpiresAt(std::string_view value, Ms /*retention*/) {
  const std::optional<Ms> at = MsField(ParseJson(value), "at_ms");
  if (!at.has_value()) return std::nullopt;
  return *at + kRowTtl;
}

/// Returns when the probe was claimed that is in the way of a claim.
Ms ClaimedAt(const StoreAnswer& conflict, Ms now) {
  for (const Row& row : conflict.rows) {
    const std::optional<Ms> at = MsField(ParseJson(row.value), "at_ms");
    if (at.has_value()) return *at;
  }
  return now;
}

}  // namespace

SweptTable ProbeTable() { return {kTable, kPartPrefix, 1, ExpiresAt}; }

bool CrashProbes::IsDue(uint64_t digest, Ms since_crash) const {
  if (since_crash < kFirstProbeAfter || !store_.reachable()) return false;
  const auto it = not_before_.find(digest);
  return it == not_before_.end() || it->second <= clock_.Now();
}

void CrashProbes::Postpone(uint64_t digest, Ms until) {
  if (not_before_.size() >= kDropPostponedFrom) {
    const Ms now = clock_.Now();
    absl::erase_if(not_before_,
                   [&](const auto& item) { return item.second <= now; });
  }
  Ms& not_before = not_before_[digest];
  not_before = std::max(not_before, until);
}

Task<bool> CrashProbes::Claim(uint64_t digest) {
  // Calls that arrive during the claim must not claim as well.
  Postpone(digest, clock_.Now() + kRetryAfter);
  for (size_t number = 0; number < kMaxProbes; ++number) {
    const Ms store_now = store_.now();
    const RowKey key = KeyOf(digest, number);
    Commit commit;
    commit.conditions.push_back({key, 0});
    commit.writes.push_back({key, DumpJson({{"at_ms", store_now.count}})});
    const StoreAnswer answer = co_await store_.write(std::move(commit));
    if (answer.outcome == StoreOutcome::kDone) {
      Postpone(digest, clock_.Now() + kProbeInterval);
      co_return true;
    }
    // A claim whose answer was lost is used up.
    if (answer.outcome != StoreOutcome::kConflict) co_return false;
    const Ms since = store_now - ClaimedAt(answer, store_now);
    if (since < kProbeInterval) {
      Postpone(digest, clock_.Now() + kProbeInterval - since);
      co_return false;
    }
  }
  Postpone(digest, clock_.Now() + kRowTtl);
  co_return false;
}

}  // namespace knapweed::gateway
