#ifndef KNAPWEED_SIDECAR_EPOCH_FENCE_H_
#define KNAPWEED_SIDECAR_EPOCH_FENCE_H_

#include <cstdint>
#include <span>
#include <vector>

#include "knapweed/base/ids.h"

namespace knapweed {

/// The lowest epoch that is still accepted, for each partition. It only rises,
/// and holds whether or not the upstream checks fencing numbers. Not safe from
/// several threads.
class EpochFence {
 public:
  explicit EpochFence(uint32_t partition_count) : floor_(partition_count) {}

  /// Raises each partition's epoch to at least the one read from the store.
  void Raise(std::span<const Epoch> floor);
  /// False when the epoch is older than one seen before, or there is no such
  /// partition. Otherwise older epochs are refused from now on.
  bool Admit(PartitionId partition, Epoch epoch);
  bool Has(PartitionId partition) const { return partition.n < floor_.size(); }
  std::span<const Epoch> floor() const { return floor_; }

 private:
  std::vector<Epoch> floor_;
};

}  // namespace knapweed

#endif  // KNAPWEED_SIDECAR_EPOCH_FENCE_H_
