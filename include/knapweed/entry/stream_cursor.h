#ifndef KNAPWEED_ENTRY_STREAM_CURSOR_H_
#define KNAPWEED_ENTRY_STREAM_CURSOR_H_

#include <string>
#include <string_view>

#include "knapweed/wire/rpc.h"

namespace knapweed {

/// Passes on an answer that may start over from its beginning, as when an
/// upstream dies and another runs the call again: text that was passed on is
/// compared and skipped, so that the caller sees one whole answer.
///
/// Example: after "ab" and `Restart()`, the pieces "a" and "bcd" pass on "cd";
/// the piece "x" would make the answer diverge.
class StreamCursor {
 public:
  explicit StreamCursor(const ChunkSink& sink) : sink_(sink) {}

  /// The next piece is the answer's beginning again.
  void Restart() { position_ = 0; }
  /// False when the answer diverged or the caller is gone. An empty piece only
  /// asks whether the caller is still there.
  bool Push(std::string_view piece);
  /// Passes on what is missing of the whole answer.
  bool PushRest(std::string_view full_answer);
  /// Whether a repeated answer differed from what was passed on.
  bool diverged() const { return diverged_; }

 private:
  const ChunkSink& sink_;
  std::string sent_;
  size_t position_ = 0;
  bool diverged_ = false;
};

}  // namespace knapweed

#endif  // KNAPWEED_ENTRY_STREAM_CURSOR_H_
