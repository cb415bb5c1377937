#ifndef KNAPWEED_GATEWAY_EVENT_SPLITTER_H_
#define KNAPWEED_GATEWAY_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Splits a stream of server-sent events into complete events without changing
/// a byte, so that a stream which fails inside an event can resume at another
/// upstream.
namespace knapweed::gateway {

/// One event. `raw` is valid until the next call on the splitter.
struct StreamEvent {
  /// All bytes of the event, including the empty line that ends it.
  std::string_view raw;
  std::optional<uint64_t> id;
  /// The event's data; lines are joined by line feeds.
  std::string data;
  /// It has lines of data; a comment has none.
  bool has_data = false;
};

/// Buffers the bytes of one stream and extracts events.
class EventSplitter {
 public:
  /// Appends bytes of the stream. Returns false if the buffered bytes exceed
  /// 256 KB, the limit for one event.
  bool Feed(std::string_view bytes);
  /// Extracts the next complete event; returns false if there is none yet.
  bool Next(StreamEvent* event);
  /// Returns whether bytes of an incomplete event are buffered.
  bool HasPartialEvent() const { return pos_ < buf_.size(); }
  /// Returns the number of buffered bytes.
  size_t size() const { return buf_.size(); }

 private:
  /// Returns the offset after the empty line that ends the first event; npos if
  /// the event is incomplete. Searches each byte once.
  size_t FindEnd();

  std::string buf_;
  /// Offsets of the first event, and of the line of it that is searched now.
  size_t pos_ = 0;
  size_t line_ = 0;
  /// No line ends between `line_` and here.
  size_t searched_ = 0;
  /// A line of the event before `line_` is not empty.
  bool has_content_ = false;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_EVENT_SPLITTER_H_
