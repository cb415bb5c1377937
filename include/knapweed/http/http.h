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

/// A whole HTTP message body is held in memory; servers refuse bodies over
/// their limit.
struct HttpRequest {
  std::string method = "GET";
  /// As a client sends it; a server's handler finds it decoded.
  std::string path = "/";
  std::string query;
  std::vector<HttpHeader> headers;
  std::string body;
};

struct HttpReply {
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
};

/// The value of the first header of that name, compared without case; empty
/// when there is none.
std::string_view FindHeader(const std::vector<HttpHeader>& headers,
                            std::string_view name);

/// The value of a query parameter, decoded; empty when there is none.
std::string QueryParam(std::string_view query, std::string_view name);

}  // namespace knapweed

#endif  // KNAPWEED_HTTP_HTTP_H_
