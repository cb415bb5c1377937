#include "knapweed/gateway/load_collector.h"

#include <algorithm>
#include <utility>

namespace knapweed::gateway {
namespace {

/// Intervals without a report after which a gateway no longer counts.
constexpr int64_t kIntervalsToExpiry = 3;

}  // namespace

bool LoadCollector::Take(LoadReport report) {
  DropExpired(clock_.Now());
  const auto it = held_.find(report.sender);
  if (it != held_.end()) {
    const LoadReport& last = it->second.report;
    const bool is_older = report.incarnation == last.incarnation &&
                          report.sequence <= last.sequence;
    if (is_older) return false;
    Subtract(last);
  }
  Add(report);
  Held& held = held_[report.sender];
  held.report = std::move(report);
  held.taken_at = clock_.Now();
  return true;
}

void LoadCollector::Add(const LoadReport& report) {
  for (const LoadEntry& entry : report.entries) {
    Sum& sum = sums_[entry.key];
    sum.load = sum.load + entry.load;
    ++sum.reports;
  }
}

void LoadCollector::Subtract(const LoadReport& report) {
  for (const LoadEntry& entry : report.entries) {
    const auto it = sums_.find(entry.key);
    it->second.load = Excess(it->second.load, entry.load);
    if (--it->second.reports == 0) sums_.erase(it);
  }
}

void LoadCollector::DropExpired(Ms now) {
  for (auto it = held_.begin(); it != held_.end();) {
    const Held& held = it->second;
    const bool is_valid =
        now - held.taken_at < held.report.interval * kIntervalsToExpiry;
    if (is_valid) {
      ++it;
      continue;
    }
    Subtract(held.report);
    it = held_.erase(it);
  }
}

LoadAnswer LoadCollector::Sums(const Address& asker,
                               std::span<const LoadKey> list) {
  const Ms now = clock_.Now();
  DropExpired(now);
  LoadAnswer answer;
  answer.gateways = static_cast<uint32_t>(held_.size());
  bool is_first = true;
  for (const auto& [sender, held] : held_) {
    for (const auto& [service, per_s] : held.report.starts_per_s) {
      answer.starts_per_s[service] += per_s;
    }
    if (sender == asker) continue;
    const Ms age = now - held.taken_at;
    answer.oldest_age = std::max(answer.oldest_age, age);
    answer.newest_age = is_first ? age : std::min(answer.newest_age, age);
    is_first = false;
  }
  answer.entries.reserve(list.size());
  for (const LoadKey key : list) {
    const auto sum = sums_.find(key);
    answer.entries.push_back(
        {key, sum == sums_.end() ? CallLoad{} : sum->second.load});
  }
  return answer;
}

}  // namespace knapweed::gateway
