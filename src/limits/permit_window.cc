#include "knapweed/limits/permit_window.h"

#include <algorithm>

namespace knapweed {

bool PermitWindow::Take(uint64_t id, size_t most, Ms span, Ms now) {
  if (Count(span, now) >= most) return false;
  granted_.push_back({id, now});
  return true;
}

void PermitWindow::Return(uint64_t id) {
  const auto it = std::lower_bound(
      granted_.begin(), granted_.end(), id,
      [](const Permit& permit, uint64_t value) { return permit.id < value; });
  if (it != granted_.end() && it->id == id) granted_.erase(it);
}

void PermitWindow::Restore(uint64_t first_id, size_t count, Ms at) {
  for (size_t i = 0; i < count; ++i) granted_.push_back({first_id + i, at});
}

size_t PermitWindow::Count(Ms span, Ms now) {
  DropOlder(span, now);
  return granted_.size();
}

size_t PermitWindow::CountAfter(Ms time) const {
  const auto it = std::upper_bound(
      granted_.begin(), granted_.end(), time,
      [](Ms value, const Permit& permit) { return value < permit.at; });
  return static_cast<size_t>(granted_.end() - it);
}

std::vector<Ms> PermitWindow::Times() const {
  std::vector<Ms> times;
  times.reserve(granted_.size());
  for (const Permit& permit : granted_) times.push_back(permit.at);
  return times;
}

std::optional<Ms> PermitWindow::UntilNextFree(Ms span, Ms now) const {
  if (granted_.empty()) return std::nullopt;
  return std::max(granted_.front().at + span - now, Ms{0}) + Ms{1};
}

void PermitWindow::DropOlder(Ms span, Ms now) {
  while (!granted_.empty() && now - granted_.front().at > span) {
    granted_.pop_front();
  }
}

}  // namespace knapweed
