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

}  // namespace

bool EventSplitter::Feed(std::string_view bytes) {
  buf_.erase(0, pos_);
  line_ -= pos_;
  searched_ -= pos_;
  pos_ = 0;
  buf_.append(bytes);
  return buf_.size() <= kMaxEventBytes;
}

size_t EventSplitter::FindEnd() {
  const std::string_view bytes = buf_;
  while (true) {
    const size_t end = buf_.find('\n', searched_);
    if (end == std::string::npos) {
      searched_ = buf_.size();
      return end;
    }
    std::string_view line = bytes.substr(line_, end - line_);
    if (line.ends_with('\r')) line.remove_suffix(1);
    line_ = end + 1;
    searched_ = line_;
    const bool is_end = line.empty() && has_content_;
    has_content_ = !is_end && (has_content_ || !line.empty());
    if (is_end) return line_;
  }
}

bool EventSplitter::Next(StreamEvent* event) {
  const size_t end = FindEnd();
  if (end == std::string::npos) return false;
  *event = StreamEvent{};
  const std::string_view bytes = buf_;
  event->raw = bytes.substr(pos_, end - pos_);
  pos_ = end;
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
