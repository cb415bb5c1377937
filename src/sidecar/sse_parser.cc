#include "knapweed/sidecar/sse_parser.h"

namespace knapweed {
namespace {

constexpr size_t kMaxEventBytes = 1 << 20;
constexpr std::string_view kDataField = "data:";

}  // namespace

bool SseParser::Feed(std::string_view piece) {
  partial_line_.append(piece);
  size_t begin = 0;
  while (true) {
    const size_t end = partial_line_.find('\n', begin);
    if (end == std::string::npos) break;
    const std::string_view text = partial_line_;
    ParseLine(text.substr(begin, end - begin));
    begin = end + 1;
  }
  partial_line_.erase(0, begin);
  return partial_line_.size() + data_.size() <= kMaxEventBytes;
}

void SseParser::ParseLine(std::string_view line) {
  if (line.ends_with('\r')) line.remove_suffix(1);
  if (line.empty()) {
    if (has_data_) on_event_(data_);
    data_.clear();
    has_data_ = false;
    return;
  }
  if (!line.starts_with(kDataField)) return;
  line.remove_prefix(kDataField.size());
  if (line.starts_with(' ')) line.remove_prefix(1);
  if (has_data_) data_.push_back('\n');
  data_.append(line);
  has_data_ = true;
}

}  // namespace knapweed
