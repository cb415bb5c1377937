#ifndef KNAPWEED_BASE_PERCENT_H_
#define KNAPWEED_BASE_PERCENT_H_

#include <string>
#include <string_view>

namespace knapweed {

/// Percent-encodes all but the unreserved characters of RFC 3986, so that the
/// result can be used in a URL path segment or as a query value.
std::string PercentEncode(std::string_view text);

/// Decodes percent-encoded text; a '%' without two hexadecimal digits after it
/// is kept unchanged.
std::string PercentDecode(std::string_view text);

}  // namespace knapweed

#endif  // KNAPWEED_BASE_PERCENT_H_
