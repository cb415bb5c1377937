#include "knapweed/membership/assignment.h"

#include <string>

namespace knapweed {

const Member* PreferredOwner(PartitionId partition,
                             std::span<const Member> members) {
  const Member* best = nullptr;
  uint64_t best_score = 0;
  for (const Member& it : members) {
    if (it.leaving) continue;
    const uint64_t score = HashBytes(it.id.value, partition.n + 1);
    const bool better = best == nullptr || score > best_score ||
                        (score == best_score && it.id.value < best->id.value);
    if (!better) continue;
    best = &it;
    best_score = score;
  }
  return best;
}

size_t RankFor(std::string_view job, const MemberId& self,
               std::span<const Member> members) {
  const uint64_t seed = HashBytes(job);
  const uint64_t own = HashBytes(self.value, seed);
  size_t rank = 0;
  for (const Member& it : members) {
    if (it.id != self && HashBytes(it.id.value, seed) > own) ++rank;
  }
  return rank;
}

}  // namespace knapweed
