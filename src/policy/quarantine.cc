#include "knapweed/policy/quarantine.h"

#include <algorithm>
#include <utility>

namespace knapweed {

Quarantine::Quarantine(const QuarantineOptions& options) : options_(options) {}

bool Quarantine::IsSameCrash(const Crash& a, const Crash& b) const {
  if (a.upstream_hash != b.upstream_hash) return false;
  if (options_.crash_span == Ms{0}) return true;
  return std::max(a.at, b.at) - std::min(a.at, b.at) < options_.crash_span;
}

bool Quarantine::AddCrash(Entry& entry, const Crash& crash) const {
  auto* const begin = entry.crashes.begin();
  auto* end = begin + entry.count;
  auto* it = std::find_if(begin, end, [&](const Crash& known) {
    return IsSameCrash(known, crash);
  });
  if (it != end) {
    // With a span the first report counts: a later one would move the time from
    // which the next crash is told apart.
    const bool counts =
        options_.crash_span > Ms{0} ? crash.at < it->at : crash.at > it->at;
    if (counts) it->at = crash.at;
    return counts;
  }
  if (entry.count < kMaxCrashes) {
    *end = crash;
    ++entry.count;
    return true;
  }
  // Keeps the newest crashes, so that the result does not depend on the order
  // of arrival.
  const auto rank = [](const Crash& c) {
    return std::pair(c.at, c.upstream_hash);
  };
  auto* oldest = std::min_element(
      begin, end,
      [&](const Crash& a, const Crash& b) { return rank(a) < rank(b); });
  if (rank(crash) <= rank(*oldest)) return false;
  *oldest = crash;
  return true;
}

Ms Quarantine::NewestOf(const Entry& entry) {
  Ms newest = entry.cleared_at;
  for (uint32_t i = 0; i < entry.count; ++i) {
    newest = std::max(newest, entry.crashes[i].at);
  }
  return newest;
}

void Quarantine::EvictOldest() {
  const auto it = std::min_element(
      entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
        return NewestOf(a.second) < NewestOf(b.second);
      });
  if (it != entries_.end()) entries_.erase(it);
}

bool Quarantine::Merge(const CrashRecord& record) {
  const bool known = entries_.contains(record.digest);
  if (!known && entries_.size() >= options_.max_digests) EvictOldest();
  Entry& entry = entries_[record.digest];
  if (record.cleared) {
    if (record.at <= entry.cleared_at) return false;
    entry.cleared_at = record.at;
    return true;
  }
  return AddCrash(entry, {record.upstream_hash, record.at});
}

QuarantineVerdict Quarantine::VerdictOf(uint64_t digest, Ms now) const {
  const auto it = entries_.find(digest);
  if (it == entries_.end()) return QuarantineVerdict::kClear;
  const Entry& entry = it->second;
  uint32_t counting = 0;
  for (uint32_t i = 0; i < entry.count; ++i) {
    const Ms at = entry.crashes[i].at;
    if (at > entry.cleared_at && at + options_.expiry > now) ++counting;
  }
  if (counting >= options_.min_upstreams)
    return QuarantineVerdict::kQuarantined;
  return counting > 0 ? QuarantineVerdict::kSuspect : QuarantineVerdict::kClear;
}

Ms Quarantine::LastCrashOf(uint64_t digest) const {
  const auto it = entries_.find(digest);
  if (it == entries_.end()) return Ms{0};
  Ms last;
  for (uint32_t i = 0; i < it->second.count; ++i) {
    last = std::max(last, it->second.crashes[i].at);
  }
  return last;
}

void Quarantine::Expire(Ms now) {
  absl::erase_if(entries_, [&](const auto& item) {
    return NewestOf(item.second) + options_.expiry <= now;
  });
}

std::vector<CrashRecord> Quarantine::Records() const {
  std::vector<CrashRecord> records;
  for (const auto& [digest, entry] : entries_) {
    if (entry.cleared_at > Ms{0}) {
      records.push_back({digest, 0, entry.cleared_at, true});
    }
    for (uint32_t i = 0; i < entry.count; ++i) {
      const Crash& crash = entry.crashes[i];
      records.push_back({digest, crash.upstream_hash, crash.at, false});
    }
  }
  return records;
}

}  // namespace knapweed
