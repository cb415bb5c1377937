#ifndef KNAPWEED_BASE_PARSE_H_
#define KNAPWEED_BASE_PARSE_H_

#include <charconv>
#include <string_view>
#include <system_error>

#include "knapweed/base/clock.h"

namespace knapweed {

/// Parses a text that consists of one number. Returns false, with `n`
/// unspecified, if the text holds anything else or the number is out of range.
template <typename T>
bool ParseNumber(std::string_view text, T* n) {
  const char* end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, *n);
  return ec == std::errc() && stop == end;
}

/// Parses a time span, a whole number with its unit: "250ms", "5s", "2m" or
/// "24h". Returns false and leaves `span` unchanged if the text is anything
/// else.
bool ParseSpan(std::string_view text, Ms* span);

}  // namespace knapweed

#endif  // KNAPWEED_BASE_PARSE_H_
