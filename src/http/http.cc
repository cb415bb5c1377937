#include "knapweed/http/http.h"

#include <civetweb.h>

#include "absl/strings/match.h"

namespace knapweed {

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
  std::string buf(query.size() + 1, '\0');
  const std::string key(name);
  const int n = mg_get_var(query.data(), query.size(), key.c_str(), buf.data(),
                           buf.size());
  if (n < 0) return "";
  buf.resize(static_cast<size_t>(n));
  return buf;
}

std::string PercentEncode(std::string_view text) {
  // Each byte becomes three at the most.
  std::string buf(text.size() * 3 + 1, '\0');
  const int n =
      mg_url_encode(std::string(text).c_str(), buf.data(), buf.size());
  buf.resize(n < 0 ? 0 : static_cast<size_t>(n));
  return buf;
}

}  // namespace knapweed
