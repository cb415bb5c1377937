#ifndef KNAPWEED_HTTP_HTTP_H_
#define KNAPWEED_HTTP_HTTP_H_

#include <string>
#include <string_view>
#include <vector>

namespace knapweed {

struct HttpHeader {
  std::string name;
  std::string value;
};

/// An HTTP request with its whole body in memory. A server rejects requests
/// whose body is over its limit.
struct HttpRequest {
  std::string method = "GET";
  /// Sent unchanged by the client, so it must be percent-encoded there; already
  /// decoded in the request that a server passes to its handler.
  std::string path = "/";
  /// The part of the target after '?', percent-encoded.
  std::string query;
  std::vector<HttpHeader> headers;
  std::string body;
};

/// An HTTP reply with its whole body in memory.
struct HttpReply {
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
};

/// Returns the value of the first header with this name, ignoring case, or an
/// empty view if there is none. The result points into `headers`.
std::string_view FindHeader(const std::vector<HttpHeader>& headers,
                            std::string_view name);

/// Returns the decoded value of the first query parameter with this name, or an
/// empty string if there is none.
std::string QueryParam(std::string_view query, std::string_view name);

}  // namespace knapweed

#endif  // KNAPWEED_HTTP_HTTP_H_
