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

  explicit SseParser(EventSink on_event) : on_event_(std::move(on_event)) {}

  /// False when an event is over the limit; nothing more should be fed.
  bool Feed(std::string_view piece);

 private:
  void ParseLine(std::string_view line);

  EventSink on_event_;
  std::string partial_line_;
  std::string data_;
  bool has_data_ = false;
};

}  // namespace knapweed

#endif  // KNAPWEED_SIDECAR_SSE_PARSER_H_
