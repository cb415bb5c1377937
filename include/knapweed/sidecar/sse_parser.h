#ifndef KNAPWEED_SIDECAR_SSE_PARSER_H_
#define KNAPWEED_SIDECAR_SSE_PARSER_H_

#include <functional>
#include <string>
#include <string_view>

namespace knapweed {

/// Splits a stream of server-sent events, in pieces of any size, into the data
/// of each event.
class SseParser {
 public:
  using EventSink = std::function<void(std::string_view data)>;

  explicit SseParser(EventSink sink) : sink_(std::move(sink)) {}

  /// False when an event is over the limit; nothing more should be fed.
  bool Feed(std::string_view piece);

 private:
  void TakeLine(std::string_view line);

  EventSink sink_;
  std::string rest_;
  std::string data_;
  bool has_data_ = false;
};

}  // namespace knapweed

#endif  // KNAPWEED_SIDECAR_SSE_PARSER_H_
