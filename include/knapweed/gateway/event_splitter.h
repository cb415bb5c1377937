#ifndef KNAPWEED_GATEWAY_EVENT_SPLITTER_H_
#define KNAPWEED_GATEWAY_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Cuts a stream of server-sent events into whole events, byte for byte as they
/// came, so that a stream which breaks off inside an event can go on elsewhere.
namespace knapweed::gateway {

/// One event. The views hold until the next call on the splitter.
struct StreamEvent {
  /// All bytes of the event with the empty line that ends it.
  std::string_view raw;
  std::optional<uint64_t> id;
  /// Its data, lines joined by line feeds.
  std::string data;
};

class EventSplitter {
 public:
  /// Adds bytes of the stream. False when an event is over 1 MB.
  bool Feed(std::string_view bytes);
  /// Takes the next whole event; false when there is none yet.
  bool Next(StreamEvent* event);
  /// Whether bytes of an unfinished event are left.
  bool HasPartialEvent() const { return pos_ < buf_.size(); }

 private:
  std::string buf_;
  size_t pos_ = 0;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_EVENT_SPLITTER_H_
