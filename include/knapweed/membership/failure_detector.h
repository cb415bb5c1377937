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
struct LeaseSighting {
  std::string key;
  uint64_t version = 0;
  Ms lease;
};

/// Tells which leases have lapsed, by this process's own clock: a row that did
/// not change for its lease and `margin`. A gap between two scans longer than
/// `longest_gap` starts every count anew, so that after an outage of the store
/// each holder gets a whole lease to renew before anyone takes over from it.
class FailureDetector {
 public:
  FailureDetector(Ms margin, Ms longest_gap)
      : margin_(margin), longest_gap_(longest_gap) {}

  /// Takes in a scan that was started at `now`. Rows that are not in it are
  /// forgotten.
  void Observe(const std::vector<LeaseSighting>& rows, Ms now);
  /// How long ago the row's lease lapsed; nothing while it may still hold.
  std::optional<Ms> LapsedFor(const std::string& key, Ms now) const;

 private:
  struct Seen {
    uint64_t version = 0;
    Ms lease;
    Ms since;
  };

  Ms margin_;
  Ms longest_gap_;
  std::optional<Ms> last_scan_;
  std::map<std::string, Seen> seen_;
};

}  // namespace knapweed

#endif  // KNAPWEED_MEMBERSHIP_FAILURE_DETECTOR_H_
