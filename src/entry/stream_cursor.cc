#include "knapweed/entry/stream_cursor.h"

#include <algorithm>

namespace knapweed {

bool StreamCursor::Push(std::string_view piece) {
  if (diverged_) return false;
  const size_t repeated = std::min(piece.size(), sent_.size() - position_);
  if (piece.substr(0, repeated) !=
      std::string_view{sent_}.substr(position_, repeated)) {
    diverged_ = true;
    return false;
  }
  position_ += repeated;
  const std::string_view fresh = piece.substr(repeated);
  if (repeated > 0 && fresh.empty()) return true;
  sent_.append(fresh);
  position_ += fresh.size();
  return !sink_ || sink_(fresh);
}

bool StreamCursor::PushRest(std::string_view full_answer) {
  Restart();
  return Push(full_answer) && position_ == sent_.size();
}

}  // namespace knapweed
