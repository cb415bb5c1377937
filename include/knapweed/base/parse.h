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

/// Parses a number from 0 on, with or without a fraction or an exponent: "8",
/// "8.0" or "1e1". Returns false and leaves `n` unchanged if the text is
/// anything else.
bool ParseDecimal(std::string_view text, double* n);

/// Parses a time span, a decimal with its unit: "250ms", "7.5s", "2m" or "24h".
/// Rounds down to whole milliseconds. Returns false and leaves `span` unchanged
/// if the text is anything else.
bool ParseSpan(std::string_view text, Ms* span);

}  // namespace knapweed

#endif  // KNAPWEED_BASE_PARSE_H_
