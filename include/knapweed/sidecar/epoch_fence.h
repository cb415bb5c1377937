#ifndef KNAPWEED_SIDECAR_EPOCH_FENCE_H_
#define KNAPWEED_SIDECAR_EPOCH_FENCE_H_

#include <cstdint>
#include <span>
#include <vector>

#include "knapweed/base/ids.h"

namespace knapweed {

/// The lowest accepted epoch of each partition, so that calls of former owners
/// are refused. An epoch never decreases. Works whether or not the upstream
/// checks fencing numbers itself. Owned by Dispatcher. Not thread-safe.
class EpochFence {
 public:
  explicit EpochFence(uint32_t partition_count) : floor_(partition_count) {}

  /// Raises the epoch of each partition to at least the one read from the
  /// store.
  void Raise(std::span<const Epoch> floor);
  /// False if the epoch is older than one seen before, or there is no such
  /// partition. Otherwise older epochs are refused from then on.
  bool Admit(PartitionId partition, Epoch epoch);
  /// Whether there is such a partition.
  bool Has(PartitionId partition) const { return partition.n < floor_.size(); }
  std::span<const Epoch> floor() const { return floor_; }

 private:
  std::vector<Epoch> floor_;
};

}  // namespace knapweed

#endif  // KNAPWEED_SIDECAR_EPOCH_FENCE_H_
