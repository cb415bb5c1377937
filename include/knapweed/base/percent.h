#ifndef KNAPWEED_BASE_PERCENT_H_
#define KNAPWEED_BASE_PERCENT_H_

#include <string>
#include <string_view>

namespace knapweed {

/// Percent-encodes everything but unreserved characters, so that the text can
/// stand in a path or as a query value.
std::string PercentEncode(std::string_view text);

/// Undoes `PercentEncode`; what is no escape stays as it is.
std::string PercentDecode(std::string_view text);

}  // namespace knapweed

#endif  // KNAPWEED_BASE_PERCENT_H_
