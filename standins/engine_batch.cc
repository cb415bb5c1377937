#include "standins/engine_batch.h"

#include <algorithm>

namespace knapweed {

void EngineBatch::SetSlots(uint32_t slots) {
  const std::lock_guard lock(mu_);
  slots_ = std::max<uint32_t>(1, slots);
}

uint64_t EngineBatch::Enqueue(int priority) {
  const std::lock_guard lock(mu_);
  waiting_.insert({-priority, next_ticket_});
  return next_ticket_++;
}

bool EngineBatch::TryStart(uint64_t ticket) {
  const std::lock_guard lock(mu_);
  if (running_.size() >= slots_ || waiting_.begin()->second != ticket) {
    return false;
  }
  waiting_.erase(waiting_.begin());
  running_.insert(ticket);
  return true;
}

void EngineBatch::Leave(uint64_t ticket) {
  const std::lock_guard lock(mu_);
  running_.erase(ticket);
  std::erase_if(waiting_,
                [&](const QueueKey& it) { return it.second == ticket; });
}

uint32_t EngineBatch::running() const {
  const std::lock_guard lock(mu_);
  return static_cast<uint32_t>(running_.size());
}

uint32_t EngineBatch::waiting() const {
  const std::lock_guard lock(mu_);
  return static_cast<uint32_t>(waiting_.size());
}

}  // namespace knapweed
