#include "knapweed/http/client.h"

#include <algorithm>
#include <boost/beast/http.hpp>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "knapweed/base/http_status.h"
#include "timed_socket.h"

namespace knapweed {
namespace {

namespace http = boost::beast::http;

// Shorter than the server's idle timeout, so that a reused connection has
// rarely been closed by the server.
constexpr Ms kMaxIdleTime = Seconds(3);
constexpr size_t kMaxIdleConnections = 64;
/// Most interim responses before the final one, such as "100 Continue".
constexpr int kMaxInterimResponses = 16;
constexpr uint64_t kMaxBodyBytes = uint64_t{1} << 40;
constexpr size_t kReadBufferBytes = 16384;

std::string Serialize(const HttpRequest& request, const Address& server) {
  std::string text = absl::StrCat(request.method, " ", request.path);
  if (!request.query.empty()) absl::StrAppend(&text, "?", request.query);
  absl::StrAppend(&text, " HTTP/1.1\r\nHost: ", server.ToString(), "\r\n");
  for (const HttpHeader& header : request.headers) {
    absl::StrAppend(&text, header.name, ": ", header.value, "\r\n");
  }
  absl::StrAppend(&text, "Content-Length: ", request.body.size(), "\r\n\r\n",
                  request.body);
  return text;
}

absl::Status ErrorAfterSend(const HttpErrorCode& ec) {
  if (ec == boost::asio::error::timed_out) {
    return absl::DeadlineExceededError("no whole reply before the deadline");
  }
  return absl::UnknownError(absl::StrCat(
      "the connection broke after the request was sent: ", ec.message()));
}

HttpReply ReplyHead(const http::response_header<>& header) {
  HttpReply reply;
  reply.status = static_cast<int>(header.result_int());
  for (const auto& field : header) {
    reply.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return reply;
}

using Parser = http::response_parser<http::buffer_body>;

/// Reads the head of the final response. Each head has a parser of its own, as
/// a parser reads one message only.
HttpErrorCode ReadHead(HttpConnection& connection,
                       std::optional<Parser>& parser) {
  for (int i = 0; i <= kMaxInterimResponses; ++i) {
    parser.emplace();
    parser->header_limit(kMaxHeaderBytes);
    parser->body_limit(kMaxBodyBytes);
    HttpErrorCode ec;
    http::read_header(connection.socket, connection.buf, *parser, ec);
    if (ec) return ec;
    const StatusKind kind = StatusKindOfHead(parser->get());
    if (kind == StatusKind::kFinal) return ec;
    if (kind == StatusKind::kInvalid) return http::error::bad_status;
  }
  return http::error::bad_status;
}

using ConnectionPtr = std::unique_ptr<HttpConnection>;

}  // namespace

struct HttpClient::Impl {
  /// An open connection without a call, and when it became idle.
  struct Idle {
    ConnectionPtr connection;
    Ms idle_since;
  };

  /// Returns the most recently used idle connection, or null if there is none.
  ConnectionPtr TakeIdle() {
    const std::lock_guard lock(mu);
    while (!idle.empty()) {
      Idle last = std::move(idle.back());
      idle.pop_back();
      if (clock.Now() - last.idle_since < kMaxIdleTime) {
        return std::move(last.connection);
      }
    }
    return nullptr;
  }

  void KeepIdle(ConnectionPtr connection) {
    const std::lock_guard lock(mu);
    if (idle.size() >= kMaxIdleConnections) return;
    idle.push_back({std::move(connection), clock.Now()});
  }

  /// Sends a serialized request and reads the reply. Sets `reusable` to whether
  /// the connection can carry another request.
  absl::StatusOr<HttpReply> Exchange(HttpConnection& connection,
                                     const std::string& text, Ms deadline,
                                     const BodySink& sink,
                                     bool* reusable) const;

  boost::asio::io_context context;
  Address server;
  Clock clock = Clock::Steady();
  std::mutex mu;
  std::vector<Idle> idle;
};

absl::StatusOr<HttpReply> HttpClient::Impl::Exchange(HttpConnection& connection,
                                                     const std::string& text,
                                                     Ms deadline,
                                                     const BodySink& sink,
                                                     bool* reusable) const {
  *reusable = false;
  HttpErrorCode ec;
  connection.socket.SetDeadline(deadline);
  boost::asio::write(connection.socket, boost::asio::buffer(text), ec);
  if (ec) return absl::UnknownError("the connection broke while sending");
  std::optional<Parser> parser_of_head;
  ec = ReadHead(connection, parser_of_head);
  if (ec) return ErrorAfterSend(ec);
  Parser& parser = *parser_of_head;
  HttpReply reply = ReplyHead(parser.get());
  char buf[kReadBufferBytes];
  while (!parser.is_done()) {
    auto& body = parser.get().body();
    body.data = buf;
    body.size = sizeof(buf);
    body.more = true;
    http::read_some(connection.socket, connection.buf, parser, ec);
    if (ec == http::error::need_buffer) ec.clear();
    const size_t n = sizeof(buf) - body.size;
    if (n > 0 && !sink(std::string_view(buf, n))) return reply;
    if (ec) return ErrorAfterSend(ec);
    if (clock.Now() >= deadline) {
      return ErrorAfterSend(boost::asio::error::timed_out);
    }
  }
  *reusable = parser.keep_alive() && connection.buf.size() == 0;
  return reply;
}

HttpClient::HttpClient(Address server) : impl_(std::make_unique<Impl>()) {
  impl_->server = std::move(server);
}

HttpClient::~HttpClient() = default;

const Address& HttpClient::server() const { return impl_->server; }

absl::StatusOr<HttpReply> HttpClient::Call(const HttpRequest& request,
                                           const HttpCallOptions& options) {
  std::string body;
  bool too_large = false;
  absl::StatusOr<HttpReply> reply =
      Stream(request, options, [&](std::string_view piece) {
        too_large = piece.size() > options.max_body_bytes - body.size();
        if (!too_large) body.append(piece);
        return !too_large;
      });
  if (too_large) return absl::UnknownError("the reply is too large");
  if (reply.ok()) reply->body = std::move(body);
  return reply;
}

absl::StatusOr<HttpReply> HttpClient::Stream(const HttpRequest& request,
                                             const HttpCallOptions& options,
                                             const BodySink& sink) {
  const Ms deadline = impl_->clock.Now() + options.timeout;
  ConnectionPtr connection =
      options.fresh_connection ? nullptr : impl_->TakeIdle();
  if (connection == nullptr) {
    connection = std::make_unique<HttpConnection>(impl_->context);
    const absl::Status connect_status =
        connection->socket.Connect(impl_->server, deadline);
    if (!connect_status.ok()) return connect_status;
  }
  bool reusable = false;
  absl::StatusOr<HttpReply> reply =
      impl_->Exchange(*connection, Serialize(request, impl_->server), deadline,
                      sink, &reusable);
  if (reply.ok() && reusable && !options.fresh_connection) {
    impl_->KeepIdle(std::move(connection));
  }
  return reply;
}

}  // namespace knapweed
