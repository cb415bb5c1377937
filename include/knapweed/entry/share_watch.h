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
  /// A member not seen to renew for `in_contact` may be out of contact; shorter
  /// than what an entry waits before it spends its share.
  ShareWatch(MemberId self, Ms in_contact)
      : self_(std::move(self)), in_contact_(in_contact) {}

  /// Takes in the renewals as last read from the store. A member that was
  /// there at the first look counts as out of contact until it renews: how old
  /// its row is can't be known. One that vanished counts for a while longer.
  std::set<FailureDomain> OutOfContact(std::span<const MemberBeat> beats,
                                       Ms now);

 private:
  struct Sighting {
    FailureDomain domain;
    uint64_t beat = 0;
    bool renewed = false;
    Ms changed_at;
  };

  const MemberId self_;
  const Ms in_contact_;
  bool looked_ = false;
  /// By incarnation.
  std::map<std::string, Sighting> seen_;
};

}  // namespace knapweed

#endif  // KNAPWEED_ENTRY_SHARE_WATCH_H_
