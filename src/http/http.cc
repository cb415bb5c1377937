#include "knapweed/http/http.h"

#include "absl/strings/match.h"
#include "absl/strings/str_split.h"
#include "knapweed/base/percent.h"

namespace knapweed {
namespace {

// Decodes percent-encoded text in which '+' stands for a space.
std::string DecodeFormValue(std::string_view text) {
  std::string plain(text);
  for (char& c : plain) {
    if (c == '+') c = ' ';
  }
  return PercentDecode(plain);
}

}  // namespace

std::string_view FindHeader(const std::vector<HttpHeader>& headers,
                            std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (absl::EqualsIgnoreCase(header.name,
                               absl::string_view(name.data(), name.size()))) {
      return header.value;
    }
  }
  return {};
}

std::string QueryParam(std::string_view query, std::string_view name) {
  for (const absl::string_view pair :
       absl::StrSplit(absl::string_view(query.data(), query.size()), '&')) {
    const std::string_view item(pair.data(), pair.size());
    const size_t equals = item.find('=');
    if (equals == std::string_view::npos) continue;
    if (DecodeFormValue(item.substr(0, equals)) == name) {
      return DecodeFormValue(item.substr(equals + 1));
    }
  }
  return "";
}

}  // namespace knapweed
