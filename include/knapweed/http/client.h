#ifndef KNAPWEED_HTTP_CLIENT_H_
#define KNAPWEED_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string_view>

#include "absl/status/statusor.h"
#include "knapweed/base/settings.h"
#include "knapweed/http/http.h"

namespace knapweed {

/// Options of one call of an `HttpClient`.
struct HttpCallOptions {
  /// Limit for the whole call, from connecting to the end of the reply.
  Ms timeout = Seconds(10);
  /// Opens a new connection for this call and closes it afterwards. A reused
  /// connection may already be closed by the server, which shows only after the
  /// request was sent; with a new connection, a failure to connect means that
  /// the request was not sent. Set it for calls that must not run twice.
  bool fresh_connection = false;
  /// Most bytes of a body that `Call` gathers. Larger than any reply that the
  /// daemons ask for; a server may send without end.
  size_t max_body_bytes = size_t{64} << 20;
};

/// Receives a piece of a reply's body. Returning false stops reading and closes
/// the connection.
using BodySink = std::function<bool(std::string_view)>;

/// A blocking HTTP/1.1 client of one server that reuses idle connections. Safe
/// from any thread.
///
/// Errors: Unavailable if no connection could be made, so that nothing was
/// sent; Unknown if the connection broke while or after the request was sent,
/// or if a reply to `Call` is too large; DeadlineExceeded if the reply was not
/// complete in time. After the last two the request may or may not have run. A
/// reply with an HTTP error status is returned as a reply.
class HttpClient {
 public:
  explicit HttpClient(Address server);
  ~HttpClient();

  /// Sends a request and returns the whole reply.
  absl::StatusOr<HttpReply> Call(const HttpRequest& request,
                                 const HttpCallOptions& options = {});
  /// Like `Call`, but passes the body to `sink` as it arrives; the body of the
  /// returned reply is empty.
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
