#ifndef KNAPWEED_STANDINS_ENGINE_BATCH_H_
#define KNAPWEED_STANDINS_ENGINE_BATCH_H_

#include <cstdint>
#include <mutex>
#include <set>
#include <utility>

#include "knapweed/base/clock.h"

namespace knapweed {

/// The slots of an engine. Requests of higher priority get a slot first, equal
/// ones in order of arrival. Safe from any thread.
class EngineBatch {
 public:
  void SetSlots(uint32_t slots);
  /// Joins the queue. Returns a ticket for the following.
  uint64_t Enqueue(int priority);
  /// Takes a slot if this request is the next one.
  bool TryStart(uint64_t ticket);
  /// Leaves the queue or the slot.
  void Leave(uint64_t ticket);
  uint32_t running() const;
  uint32_t waiting() const;

 private:
  // Ordered by falling priority, then by ticket.
  using QueueKey = std::pair<int, uint64_t>;

  mutable std::mutex mu_;
  uint32_t slots_ = 1;
  uint64_t next_ticket_ = 1;
  std::set<QueueKey> waiting_;
  std::set<uint64_t> running_;
};

}  // namespace knapweed

#endif  // KNAPWEED_STANDINS_ENGINE_BATCH_H_
