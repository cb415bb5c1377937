#ifndef KNAPWEED_SIDECAR_SSE_PARSER_H_
#define KNAPWEED_SIDECAR_SSE_PARSER_H_

#include <functional>
#include <string>
#include <string_view>

namespace knapweed {

/// Parses a stream of server-sent events, in pieces of any size, and passes on
/// the data of each event. Not thread-safe.
class SseParser {
 public:
  using EventSink = std::function<void(std::string_view data)>;

  explicit SseParser(EventSink on_event) : on_event_(std::move(on_event)) {}

  /// Parses the next piece. False if an event exceeds the limit; the stream
  /// must then be abandoned.
  bool Feed(std::string_view piece);

 private:
  void ParseLine(std::string_view line);

  EventSink on_event_;
  /// The start of a line whose end has not arrived yet.
  std::string partial_line_;
  /// The data lines of the current event.
  std::string data_;
  bool has_data_ = false;
};

}  // namespace knapweed

#endif  // KNAPWEED_SIDECAR_SSE_PARSER_H_
