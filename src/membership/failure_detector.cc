#include "knapweed/membership/failure_detector.h"

#include <utility>

namespace knapweed {

void FailureDetector::Observe(const std::vector<LeaseObservation>& rows,
                              Ms now) {
  const bool gap = !last_scan_ || now - *last_scan_ > max_scan_gap_;
  last_scan_ = now;
  std::map<std::string, Observation> next;
  for (const LeaseObservation& it : rows) {
    Observation observation{it.version, it.lease, now};
    const auto old = observations_.find(it.key);
    if (!gap && old != observations_.end() &&
        old->second.version == it.version) {
      observation.unchanged_since = old->second.unchanged_since;
    }
    next.emplace(it.key, observation);
  }
  observations_ = std::move(next);
}

std::optional<Ms> FailureDetector::ExpiredFor(const std::string& key,
                                              Ms now) const {
  const auto it = observations_.find(key);
  if (it == observations_.end()) return std::nullopt;
  const Ms end =
      it->second.unchanged_since + it->second.lease + max_clock_drift_;
  if (now < end) return std::nullopt;
  return now - end;
}

}  // namespace knapweed
