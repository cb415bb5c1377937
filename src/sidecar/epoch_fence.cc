#include "knapweed/sidecar/epoch_fence.h"

#include <algorithm>

namespace knapweed {

void EpochFence::Raise(std::span<const Epoch> floor) {
  const size_t n = std::min(floor.size(), floor_.size());
  for (size_t i = 0; i < n; ++i) floor_[i] = std::max(floor_[i], floor[i]);
}

bool EpochFence::Admit(PartitionId partition, Epoch epoch) {
  if (!Has(partition)) return false;
  Epoch& lowest = floor_[partition.n];
  if (epoch < lowest) return false;
  lowest = epoch;
  return true;
}

}  // namespace knapweed
