#ifndef KNAPWEED_MEMBERSHIP_ASSIGNMENT_H_
#define KNAPWEED_MEMBERSHIP_ASSIGNMENT_H_

#include <cstddef>
#include <span>
#include <string_view>

#include "knapweed/base/ids.h"
#include "knapweed/membership/membership.h"

namespace knapweed {

/// Returns the member that should own a partition, by rendezvous hashing over
/// the members that are not leaving, or null when there is none. Every process
/// that sees the same members selects the same one, and a member that joins or
/// leaves moves only its own share of the partitions. The result points into
/// `members`.
const Member* PreferredOwner(PartitionId partition,
                             std::span<const Member> members);

/// Returns how many of `members` rank before `self` for the named job; 0 means
/// that `self` should do it. Spreads jobs that any member can do.
size_t RankFor(std::string_view job, const MemberId& self,
               std::span<const Member> members);

}  // namespace knapweed

#endif  // KNAPWEED_MEMBERSHIP_ASSIGNMENT_H_
