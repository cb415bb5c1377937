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
/// of `Write` and `End`. Used by the handler's thread only.
class HttpResponder {
 public:
  explicit HttpResponder(HttpConnection& connection)
      : connection_(connection) {}

  void Send(const HttpReply& reply);
  /// Starts a chunked reply.
  void Begin(int status, const std::vector<HttpHeader>& headers);
  /// False when the peer is gone; nothing more need be written.
  bool Write(std::string_view chunk);
  void End();
  /// Closes the connection once the handler returns, with nothing more sent.
  void Drop();
  bool started() const { return started_; }
  /// Whether the connection can't carry another request.
  bool must_close() const { return must_close_; }

 private:
  bool WriteAll(std::string_view text);

  HttpConnection& connection_;
  bool started_ = false;
  bool must_close_ = false;
};

using HttpHandler = std::function<void(const HttpRequest&, HttpResponder&)>;

struct HttpServerOptions {
  Address listen;
  /// Requests served at once; further connections wait.
  int threads = 32;
  /// A larger body is answered 413 without reading it.
  size_t max_body = 4 << 20;
};

/// Serves one handler for all paths until destroyed. The destructor waits for
/// running requests.
class HttpServer {
 public:
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
