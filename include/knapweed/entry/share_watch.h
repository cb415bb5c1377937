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

/// Tells which failure domains may be spending their own share of each rate,
/// since an entry of theirs has not been seen to reach the store lately. Not
/// safe from several threads.
class ShareWatch {
 public:
  /// A member not seen to renew for `contact_timeout` may be out of contact;
  /// shorter than what an entry waits before it spends its share.
  ShareWatch(MemberId self, Ms contact_timeout)
      : self_(std::move(self)), contact_timeout_(contact_timeout) {}

  /// Takes in the renewals as last read from the store. A member that was
  /// there at the first look counts as out of contact until it renews: how old
  /// its row is can't be known. One that vanished counts for a while longer.
  std::set<FailureDomain> OutOfContact(std::span<const MemberBeat> beats,
                                       Ms now);

 private:
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
