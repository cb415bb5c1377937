#ifndef KNAPWEED_MEMBERSHIP_ASSIGNMENT_H_
#define KNAPWEED_MEMBERSHIP_ASSIGNMENT_H_

#include <cstddef>
#include <span>
#include <string_view>

#include "knapweed/base/ids.h"
#include "knapweed/membership/membership.h"

namespace knapweed {

/// The member that should own a partition, by rendezvous hashing over the
/// members that are not leaving: every process that sees the same members picks
/// the same one, and a member that comes or goes moves only its own share. Null
/// when there is none.
const Member* PreferredOwner(PartitionId partition,
                             std::span<const Member> members);

/// How many of the members come before `self` for a job with this name; 0 for
/// the one that should do it. Spreads work that any one of them can do.
size_t RankFor(std::string_view job, const MemberId& self,
               std::span<const Member> members);

}  // namespace knapweed

#endif  // KNAPWEED_MEMBERSHIP_ASSIGNMENT_H_
