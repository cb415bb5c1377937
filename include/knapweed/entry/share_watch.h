#ifndef KNAPWEED_ENTRY_SHARE_WATCH_H_
#define KNAPWEED_ENTRY_SHARE_WATCH_H_

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>

#include "knapweed/base/clock.h"
#include "knapweed/base/ids.h"
#include "knapweed/membership/membership.h"

namespace knapweed {

/// Determines which failure domains may be spending their own share of each
/// rate, because one of their entries has not recently renewed its lease in the
/// store. Owned by RateGate. Not thread-safe.
class ShareWatch {
 public:
  /// A member that did not renew for `contact_timeout` counts as out of
  /// contact. The timeout must be shorter than the time an entry waits before
  /// it spends its own share.
  ShareWatch(MemberId self, Ms contact_timeout)
      : self_(std::move(self)), contact_timeout_(contact_timeout) {}

  /// Processes the renewal counters as last read from the store and returns the
  /// domains out of contact. A member listed in the first read counts as out of
  /// contact until it renews, since the age of its row is unknown. A member
  /// that is no longer listed is tracked for a while longer.
  std::set<FailureDomain> OutOfContact(std::span<const MemberRenewals> beats,
                                       Ms now);

 private:
  /// Last renewal of one member. `renewed` is false until a renewal was
  /// observed.
  struct RenewalState {
    FailureDomain domain;
    uint64_t beat = 0;
    bool renewed = false;
    Ms changed_at;
  };

  const MemberId self_;
  const Ms contact_timeout_;
  bool initialized_ = false;
  /// By incarnation.
  std::map<std::string, RenewalState> members_;
};

}  // namespace knapweed

#endif  // KNAPWEED_ENTRY_SHARE_WATCH_H_
