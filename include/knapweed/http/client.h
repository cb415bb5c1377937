#ifndef KNAPWEED_HTTP_CLIENT_H_
#define KNAPWEED_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string_view>

#include "absl/status/statusor.h"
#include "knapweed/base/settings.h"
#include "knapweed/http/http.h"

namespace knapweed {

struct HttpCallOptions {
  Ms timeout = Seconds(10);
  /// Never reuses a kept connection, so that "connection refused" is the only
  /// failure before the request was sent. Set for calls that must not run
  /// twice.
  bool fresh_connection = false;
};

/// Takes a piece of a reply's body; false stops reading and closes the
/// connection.
using BodySink = std::function<bool(std::string_view)>;

/// A client of one server with kept connections. Safe from any thread; each
/// call blocks.
///
/// Errors: Unavailable when no connection could be made, so that nothing was
/// sent; Unknown when the connection broke after sending; DeadlineExceeded when
/// the reply did not come in time, which also leaves open whether the request
/// ran. An HTTP error status is a reply, not an error here.
class HttpClient {
 public:
  explicit HttpClient(Address server);
  ~HttpClient();

  absl::StatusOr<HttpReply> Call(const HttpRequest& request,
                                 const HttpCallOptions& options = {});
  /// As `Call`, but hands over the body piece by piece; the reply's body stays
  /// empty.
  absl::StatusOr<HttpReply> Stream(const HttpRequest& request,
                                   const HttpCallOptions& options,
                                   const BodySink& sink);
  const Address& server() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweed

#endif  // KNAPWEED_HTTP_CLIENT_H_
