#include "knapweed/gateway/event_splitter.h"

#include "knapweed/base/parse.h"

namespace knapweed::gateway {
namespace {

constexpr size_t kMaxEventBytes = 256 << 10;

/// Removes the first line from `text` and returns it without its line ending.
std::string_view TakeLine(std::string_view* text) {
  const size_t end = text->find('\n');
  std::string_view line = text->substr(0, end);
  text->remove_prefix(end == std::string_view::npos ? text->size() : end + 1);
  if (line.ends_with('\r')) line.remove_suffix(1);
  return line;
}

std::string_view ValueOf(std::string_view line, size_t name_size) {
  line.remove_prefix(name_size);
  if (line.starts_with(' ')) line.remove_prefix(1);
  return line;
}

/// Returns the offset after the empty line that ends the first event in `text`;
/// npos if the event is incomplete.
size_t EndOfEvent(std::string_view text) {
  size_t begin = 0;
  bool has_content = false;
  while (true) {
    const size_t end = text.find('\n', begin);
    if (end == std::string_view::npos) return end;
    std::string_view line = text.substr(begin, end - begin);
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (line.empty() && has_content) return end + 1;
    has_content = has_content || !line.empty();
    begin = end + 1;
  }
}

}  // namespace

bool EventSplitter::Feed(std::string_view bytes) {
  buf_.erase(0, pos_);
  pos_ = 0;
  buf_.append(bytes);
  return buf_.size() <= kMaxEventBytes;
}

bool EventSplitter::Next(StreamEvent* event) {
  std::string_view rest = buf_;
  rest.remove_prefix(pos_);
  const size_t size = EndOfEvent(rest);
  if (size == std::string_view::npos) return false;
  *event = StreamEvent{};
  event->raw = rest.substr(0, size);
  pos_ += size;
  std::string_view left = event->raw;
  while (!left.empty()) {
    const std::string_view line = TakeLine(&left);
    if (line.starts_with("id:")) {
      uint64_t id = 0;
      if (ParseNumber(ValueOf(line, 3), &id)) event->id = id;
    } else if (line.starts_with("data:")) {
      if (event->has_data) event->data.push_back('\n');
      event->data.append(ValueOf(line, 5));
      event->has_data = true;
    }
  }
  return true;
}

}  // namespace knapweed::gateway
