#include "knapweed/base/percent.h"

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"

namespace knapweed {
namespace {

constexpr char kHexDigits[] = "0123456789ABCDEF";

bool IsUnreserved(char c) {
  return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' ||
         c == '.' || c == '_' || c == '~';
}

bool IsEscape(std::string_view text) {
  return text.size() >= 3 && text[0] == '%' &&
         absl::ascii_isxdigit(static_cast<unsigned char>(text[1])) &&
         absl::ascii_isxdigit(static_cast<unsigned char>(text[2]));
}

}  // namespace

std::string PercentEncode(std::string_view text) {
  std::string buf;
  buf.reserve(text.size());
  for (const char c : text) {
    if (IsUnreserved(c)) {
      buf.push_back(c);
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    buf.push_back('%');
    buf.push_back(kHexDigits[byte >> 4]);
    buf.push_back(kHexDigits[byte & 15]);
  }
  return buf;
}

std::string PercentDecode(std::string_view text) {
  std::string buf;
  buf.reserve(text.size());
  for (size_t i = 0; i < text.size(); ++i) {
    if (!IsEscape(text.substr(i))) {
      buf.push_back(text[i]);
      continue;
    }
    const absl::string_view digits(text.data() + i + 1, 2);
    buf.append(absl::HexStringToBytes(digits));
    i += 2;
  }
  return buf;
}

}  // namespace knapweed
