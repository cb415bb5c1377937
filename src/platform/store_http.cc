#include "store_http.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace knapweed {
namespace {

/// Converts an HTTP status outside 2xx to an error.
absl::Status StatusOfReply(const HttpRequest& request, int http_status) {
  const std::string text = absl::StrCat(request.method, " ", request.path,
                                        " returned HTTP status ", http_status);
  switch (http_status) {
    case 400:
    case 413:
      return absl::InvalidArgumentError(text);
    case 404:
      return absl::NotFoundError(text);
    case 409:
      return absl::AbortedError(text);
    case 503:
      return absl::UnavailableError(text);
    default:
      return absl::UnknownError(text);
  }
}

}  // namespace

absl::StatusOr<std::string> WriteOverHttp(HttpClient& client,
                                          const HttpRequest& request,
                                          Ms timeout) {
  HttpCallOptions options;
  options.timeout = timeout;
  absl::StatusOr<HttpReply> reply = client.Call(request, options);
  if (!reply.ok()) return reply.status();
  if (reply->status / 100 != 2) return StatusOfReply(request, reply->status);
  return std::move(reply->body);
}

absl::StatusOr<std::string> ReadOverHttp(HttpClient& client,
                                         const HttpRequest& request,
                                         Ms timeout) {
  absl::StatusOr<std::string> body = WriteOverHttp(client, request, timeout);
  if (absl::IsUnknown(body.status())) {
    body = WriteOverHttp(client, request, timeout);
  }
  if (absl::IsUnknown(body.status())) {
    return absl::UnavailableError(body.status().message());
  }
  return body;
}

}  // namespace knapweed
