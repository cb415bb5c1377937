#ifndef KNAPWEED_HTTP_SERVER_H_
#define KNAPWEED_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "knapweed/base/settings.h"
#include "knapweed/http/http.h"

namespace knapweed {

struct HttpConnection;

/// Writes the reply to one request: either one `Send`, or `Begin`, any number
/// of `Write`s and `End`. Writes block until the data is in the
/// socket's send buffer or the write timeout has passed. Only the handler's
/// thread may use it.
class HttpResponder {
 public:
  explicit HttpResponder(HttpConnection& connection)
      : connection_(connection) {}

  /// Sends a whole reply.
  void Send(const HttpReply& reply);
  /// Starts a chunked reply.
  void Begin(int status, const std::vector<HttpHeader>& headers);
  /// Sends a chunk; an empty one is skipped. Returns false if the connection is
  /// broken, so that further writes are useless.
  bool Write(std::string_view chunk);
  /// Ends a chunked reply.
  void End();
  /// Makes the server close the connection without a further reply as soon as
  /// the handler returns.
  void Drop();
  /// Whether `Send`, `Begin` or `Drop` was called.
  bool started() const { return started_; }
  /// Whether the connection must be closed instead of serving another request.
  bool must_close() const { return must_close_; }

 private:
  bool WriteAll(std::string_view text);

  HttpConnection& connection_;
  bool started_ = false;
  bool must_close_ = false;
};

/// Handles one request on a server thread; may block.
using HttpHandler = std::function<void(const HttpRequest&, HttpResponder&)>;

struct HttpServerOptions {
  Address listen;
  /// Maximum number of threads. Each serves one connection until it is closed;
  /// further connections wait.
  int threads = 32;
  /// Maximum body size in bytes; a request with a larger body gets status 413
  /// without being read to its end.
  size_t max_body = 4 << 20;
};

/// An HTTP/1.1 server that passes the requests for all paths to one handler.
/// The destructor stops the server and waits for running handlers.
class HttpServer {
 public:
  /// Starts listening and serving. Returns Unavailable if the server can't
  /// listen on the address.
  static absl::StatusOr<std::unique_ptr<HttpServer>> Start(
      const HttpServerOptions& options, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

 private:
  struct Impl;
  explicit HttpServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweed

#endif  // KNAPWEED_HTTP_SERVER_H_
