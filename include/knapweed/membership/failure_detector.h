#ifndef KNAPWEED_MEMBERSHIP_FAILURE_DETECTOR_H_
#define KNAPWEED_MEMBERSHIP_FAILURE_DETECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "knapweed/base/clock.h"

namespace knapweed {

/// The version and lease duration of one member row as read by a scan.
struct LeaseObservation {
  std::string key;
  uint64_t version = 0;
  Ms lease;
};

/// Detects expired leases by the local clock: a lease has expired when its row
/// did not change for the lease duration plus `max_clock_drift`. A gap between
/// two scans that exceeds `max_scan_gap` restarts the count for every row, so
/// that after an outage of the store each holder has a whole lease to renew
/// before another member takes over from it. Not thread-safe; `Membership`
/// calls it with its scan lock held.
class FailureDetector {
 public:
  FailureDetector(Ms max_clock_drift, Ms max_scan_gap)
      : max_clock_drift_(max_clock_drift), max_scan_gap_(max_scan_gap) {}

  /// Records the rows of a scan that started at `now`. Drops the rows that are
  /// not in it.
  void Observe(const std::vector<LeaseObservation>& rows, Ms now);
  /// Returns how long ago the row's lease expired; nullopt while it may still
  /// hold or when the last scan did not contain the row.
  std::optional<Ms> ExpiredFor(const std::string& key, Ms now) const;

 private:
  struct Observation {
    uint64_t version = 0;
    Ms lease;
    Ms unchanged_since;
  };

  Ms max_clock_drift_;
  Ms max_scan_gap_;
  std::optional<Ms> last_scan_;
  std::map<std::string, Observation> observations_;
};

}  // namespace knapweed

#endif  // KNAPWEED_MEMBERSHIP_FAILURE_DETECTOR_H_
