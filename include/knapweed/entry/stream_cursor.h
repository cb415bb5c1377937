#ifndef KNAPWEED_ENTRY_STREAM_CURSOR_H_
#define KNAPWEED_ENTRY_STREAM_CURSOR_H_

#include <string>
#include <string_view>

#include "knapweed/wire/rpc.h"

namespace knapweed {

/// Forwards a streamed answer that may be repeated from its beginning, as when
/// an upstream fails and another one runs the call again. Text that was already
/// forwarded is compared and skipped, so that the caller receives each byte
/// once. Not thread-safe; `sink` must outlive the cursor.
///
/// Example: after "ab" and `Restart()`, the pieces "a" and "bcd" forward "cd";
/// the piece "x" makes the answer diverge.
class StreamCursor {
 public:
  explicit StreamCursor(const ChunkSink& sink) : sink_(sink) {}

  /// Expects the next piece to start at the beginning of the answer.
  void Restart() { position_ = 0; }
  /// Forwards the part of `piece` that is new. Returns false when the answer
  /// diverged or the sink cancelled. An empty piece only checks whether the
  /// caller is still connected.
  bool Push(std::string_view piece);
  /// Forwards the rest of the complete answer. Returns false as `Push` does, or
  /// when `full_answer` is shorter than what was forwarded.
  bool PushRest(std::string_view full_answer);
  /// Whether a repeated answer differed from the text already forwarded.
  bool diverged() const { return diverged_; }

 private:
  const ChunkSink& sink_;
  std::string sent_;
  size_t position_ = 0;
  bool diverged_ = false;
};

}  // namespace knapweed

#endif  // KNAPWEED_ENTRY_STREAM_CURSOR_H_
