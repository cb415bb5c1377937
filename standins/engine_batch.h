#ifndef KNAPWEED_STANDINS_ENGINE_BATCH_H_
#define KNAPWEED_STANDINS_ENGINE_BATCH_H_

#include <cstdint>
#include <mutex>
#include <set>
#include <utility>

#include "knapweed/base/clock.h"

namespace knapweed {

/// The batch slots of an engine and the queue for them. Requests are ordered by
/// priority, highest first, and by arrival within a priority. Thread-safe.
/// Callers poll `TryStart`; nothing here blocks.
class EngineBatch {
 public:
  /// Sets the number of requests that may run at once; at least 1.
  void SetSlots(uint32_t slots);
  /// Adds a request to the queue. Returns its ticket for `TryStart` and
  /// `Leave`.
  uint64_t Enqueue(int priority);
  /// Takes a slot if one is free and the request is first in the queue. The
  /// ticket must be waiting.
  bool TryStart(uint64_t ticket);
  /// Removes the request from the queue, or frees its slot.
  void Leave(uint64_t ticket);
  uint32_t running() const;
  uint32_t waiting() const;

 private:
  // The negated priority, then the ticket.
  using QueueKey = std::pair<int, uint64_t>;

  mutable std::mutex mu_;
  uint32_t slots_ = 1;
  uint64_t next_ticket_ = 1;
  std::set<QueueKey> waiting_;
  std::set<uint64_t> running_;
};

}  // namespace knapweed

#endif  // KNAPWEED_STANDINS_ENGINE_BATCH_H_
