#ifndef KNAPWEED_MEMBERSHIP_FAILURE_DETECTOR_H_
#define KNAPWEED_MEMBERSHIP_FAILURE_DETECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "knapweed/base/clock.h"

namespace knapweed {

/// One member row as a scan found it.
struct LeaseObservation {
  std::string key;
  uint64_t version = 0;
  Ms lease;
};

/// Tells which leases have lapsed, by this process's own clock: a row that did
/// not change for its lease and `max_clock_drift`. A gap between two scans
/// longer than `max_scan_gap` starts every count anew, so that after an outage
/// of the store each holder gets a whole lease to renew before anyone takes
/// over from it.
class FailureDetector {
 public:
  FailureDetector(Ms max_clock_drift, Ms max_scan_gap)
      : max_clock_drift_(max_clock_drift), max_scan_gap_(max_scan_gap) {}

  /// Takes in a scan that was started at `now`. Rows that are not in it are
  /// forgotten.
  void Observe(const std::vector<LeaseObservation>& rows, Ms now);
  /// How long ago the row's lease lapsed; nothing while it may still hold.
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
