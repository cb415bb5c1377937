#include "knapweed/membership/failure_detector.h"

#include <utility>

namespace knapweed {

void FailureDetector::Observe(const std::vector<LeaseSighting>& rows, Ms now) {
  const bool gap = !last_scan_ || now - *last_scan_ > longest_gap_;
  last_scan_ = now;
  std::map<std::string, Seen> next;
  for (const LeaseSighting& it : rows) {
    Seen seen{it.version, it.lease, now};
    const auto old = seen_.find(it.key);
    if (!gap && old != seen_.end() && old->second.version == it.version) {
      seen.since = old->second.since;
    }
    next.emplace(it.key, seen);
  }
  seen_ = std::move(next);
}

std::optional<Ms> FailureDetector::LapsedFor(const std::string& key,
                                             Ms now) const {
  const auto it = seen_.find(key);
  if (it == seen_.end()) return std::nullopt;
  const Ms end = it->second.since + it->second.lease + margin_;
  if (now < end) return std::nullopt;
  return now - end;
}

}  // namespace knapweed
