#ifndef KNAPWEED_BASE_PARSE_H_
#define KNAPWEED_BASE_PARSE_H_

#include <charconv>
#include <string_view>
#include <system_error>

#include "knapweed/base/clock.h"

namespace knapweed {

/// Reads a number that is the whole text. False, with `n` unspecified, when the
/// text is anything else or the number does not fit.
template <typename T>
bool ParseNumber(std::string_view text, T* n) {
  const char* end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, *n);
  return ec == std::errc() && stop == end;
}

/// Reads a span with its unit: "250ms", "5s", "2m" or "24h".
bool ParseSpan(std::string_view text, Ms* span);

}  // namespace knapweed

#endif  // KNAPWEED_BASE_PARSE_H_
