#include "knapweed/gateway/front.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <utility>
#include <vector>

#include "knapweed/base/log.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("front");

/// A write that takes longer than this counts as a disconnect of the caller.
constexpr Ms kWriteTimeout{8000};
/// Maximum time for reading the body of a request.
constexpr Ms kBodyTimeout{15000};
constexpr Ms kInternalTimeout{30000};
constexpr size_t kMaxInternalBodyBytes = 16 << 20;
/// The kernel closes a caller's connection if sent data stays unacknowledged
/// for this long.
constexpr int kTcpUserTimeoutMs = 10000;
constexpr int kListenBacklog = 1024;
/// Time within which a new connection brings its first request.
constexpr Ms kFirstRequestGrace{500};

unsigned StatusOfParseError(const NetErrorCode& ec) {
  if (ec == http::error::header_limit) return 431;
  if (ec == http::error::body_limit) return 413;
  if (ec == beast::error::timeout) return 408;
  return 400;
}

bool IsParseError(const NetErrorCode& ec) {
  return ec.category() ==
             http::make_error_code(http::error::bad_version).category() &&
         ec != http::error::end_of_stream && ec != http::error::partial_message;
}

bool OpenAcceptor(asio::ip::tcp::acceptor& acceptor, const Address& address) {
  NetErrorCode ec;
  const asio::ip::tcp::endpoint endpoint(
      asio::ip::make_address_v4(address.host, ec), address.port);
  if (!ec) acceptor.open(endpoint.protocol(), ec);
  if (!ec) acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec) acceptor.bind(endpoint, ec);
  if (!ec) acceptor.listen(kListenBacklog, ec);
  if (ec) {
    kLog.Error("Can't listen.",
               {{"address", address.ToString()}, {"error", ec.message()}});
  }
  return !ec;
}

}  // namespace

/// One caller's connection. The front and the running coroutine own it.
class Front::Session : public CallerLink,
                       public std::enable_shared_from_this<Session> {
 public:
  Session(Front& front, asio::ip::tcp::socket socket)
      : front_(front),
        stream_(std::move(socket)),
        opened_at_(front.clock_.Now()) {}

  Task<void> Run();
  /// Closes the connection if no request is in progress or being read, unless
  /// it was just opened for its first one.
  void CloseIfIdle() {
    const bool awaits_first =
        !has_served_ && front_.clock_.Now() - opened_at_ < kFirstRequestGrace;
    if (!idle_ || awaits_first) return;
    // Ends the wait for a request, but not one that has arrived already.
    NetErrorCode ec;
    stream_.socket().cancel(ec);
  }

  Task<bool> WriteResponse(unsigned status, const http::fields& fields,
                           std::string_view body) override;
  Task<bool> BeginStream(unsigned status, const http::fields& fields) override;
  Task<bool> WriteChunk(std::string_view bytes) override;
  Task<bool> EndStream() override;
  void AbortStream() override {
    stream_aborted_ = true;
    stream_.close();
  }
  void OnDisconnect(std::function<void()> callback) override {
    on_disconnect_ = std::move(callback);
  }

 private:
  using Parser = http::request_parser<http::string_body>;

  Task<bool> WaitForRequest(Ms timeout);
  Task<bool> ReadRequest(Parser& parser);
  Task<void> RejectMalformed(const NetErrorCode& ec);
  Task<void> WatchForDisconnect(std::shared_ptr<bool> answered);
  template <typename Message>
  void SetConnectionFields(Message& message);
  Task<bool> Write(std::string_view bytes);

  Front& front_;
  beast::tcp_stream stream_;
  beast::flat_buffer buf_;
  std::function<void()> on_disconnect_;
  Ms opened_at_;
  bool idle_ = true;
  bool has_served_ = false;
  bool keep_alive_ = true;
  bool is_head_request_ = false;
  bool stream_aborted_ = false;
};

Task<bool> Front::Session::WaitForRequest(Ms timeout) {
  idle_ = true;
  stream_.expires_after(ToChrono(timeout));
  NetErrorCode ec;
  if (buf_.size() == 0) {
    const auto space = buf_.prepare(4096);
    size_t n = co_await stream_.async_read_some(
        space, asio::redirect_error(asio::use_awaitable, ec));
    // `CloseIfIdle` has ended the wait; a request may have arrived just before.
    NetErrorCode ignored;
    if (ec == asio::error::operation_aborted &&
        stream_.socket().available(ignored) > 0) {
      n = stream_.socket().read_some(space, ec);
    }
    buf_.commit(n);
  }
  idle_ = false;
  co_return !ec;
}

Task<void> Front::Session::RejectMalformed(const NetErrorCode& ec) {
  keep_alive_ = false;
  http::fields fields;
  const unsigned status = StatusOfParseError(ec);
  kLog.Info("Rejected a malformed request.",
            {{"status", status}, {"error", ec.message()}});
  co_await WriteResponse(status, fields, "{\"error\":\"unreadable request\"}");
  NetErrorCode ignored;
  stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  // Closing with unread bytes would reset the connection, and the caller might
  // lose the response.
  std::array<char, 4096> rest{};
  constexpr int kMaxReads = 64;
  stream_.expires_after(std::chrono::milliseconds(500));
  for (int i = 0; i < kMaxReads; ++i) {
    NetErrorCode done;
    co_await stream_.async_read_some(
        asio::buffer(rest), asio::redirect_error(asio::use_awaitable, done));
    if (done) break;
  }
}

Task<bool> Front::Session::ReadRequest(Parser& parser) {
  const CallerLimits limits = front_.Limits();
  parser.header_limit(limits.max_header_bytes);
  parser.body_limit(limits.max_body_bytes);
  stream_.expires_after(ToChrono(limits.header_timeout));
  NetErrorCode ec;
  co_await http::async_read_header(
      stream_, buf_, parser, asio::redirect_error(asio::use_awaitable, ec));
  if (!ec &&
      beast::iequals(parser.get()[http::field::expect], "100-continue")) {
    const bool sent = co_await Write("HTTP/1.1 100 Continue\r\n\r\n");
    if (!sent) co_return false;
  }
  if (!ec) {
    stream_.expires_after(ToChrono(kBodyTimeout));
    co_await http::async_read(stream_, buf_, parser,
                              asio::redirect_error(asio::use_awaitable, ec));
  }
  if (!ec) co_return true;
  if (IsParseError(ec)) {
    co_await RejectMalformed(ec);
  }
  co_return false;
}

Task<void> Front::Session::WatchForDisconnect(std::shared_ptr<bool> answered) {
  const auto self = shared_from_this();
  NetErrorCode ec;
  co_await stream_.socket().async_wait(
      asio::ip::tcp::socket::wait_read,
      asio::redirect_error(asio::use_awaitable, ec));
  if (*answered) co_return;
  char byte = 0;
  const ssize_t n = ec ? 0
                       : recv(stream_.socket().native_handle(), &byte, 1,
                              MSG_PEEK | MSG_DONTWAIT);
  // Bytes of the next request show that the caller is still connected.
  if (n > 0) co_return;
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) co_return;
  if (on_disconnect_) on_disconnect_();
}

Task<void> Front::Session::Run() {
  const auto self = shared_from_this();
  NetErrorCode ec;
  stream_.socket().set_option(asio::ip::tcp::no_delay(true), ec);
  setsockopt(stream_.socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
             &kTcpUserTimeoutMs, sizeof(kTcpUserTimeoutMs));
  while (keep_alive_ && !stream_aborted_) {
    const bool arrived = co_await WaitForRequest(front_.Limits().idle_timeout);
    if (!arrived) break;
    Parser parser;
    const bool read = co_await ReadRequest(parser);
    if (!read) break;
    CallerRequest request;
    auto& message = parser.get();
    request.received = front_.clock_.Now();
    request.method = message.method();
    request.target = std::string(message.target());
    request.body = std::move(message.body());
    request.fields = message;
    request.head = front_.dialect_.decode_call(request.fields);
    keep_alive_ = message.keep_alive();
    is_head_request_ = request.method == http::verb::head;
    stream_.expires_never();
    auto answered = std::make_shared<bool>(false);
    Spawn(front_.loop_, WatchForDisconnect(answered));
    co_await front_.runner_.Run(request, *this);
    *answered = true;
    has_served_ = true;
    on_disconnect_ = nullptr;
    if (stream_aborted_) break;
    stream_.socket().cancel(ec);
  }
  if (!stream_aborted_) {
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    stream_.close();
  }
}

template <typename Message>
void Front::Session::SetConnectionFields(Message& message) {
  if (front_.draining_) keep_alive_ = false;
  message.keep_alive(keep_alive_);
  if (keep_alive_) {
    const auto idle_s = front_.Limits().idle_timeout.count / 1000;
    message.set(http::field::keep_alive, "timeout=" + std::to_string(idle_s));
  }
}

Task<bool> Front::Session::WriteResponse(unsigned status,
                                         const http::fields& fields,
                                         std::string_view body) {
  http::response<http::span_body<const char>> message;
  static_cast<http::fields&>(message) = fields;
  message.version(11);
  message.result(status);
  message.body() = {body.data(), body.size()};
  const bool has_body = status != 204 && status != 304;
  if (has_body) {
    message.set(http::field::content_length, std::to_string(body.size()));
  }
  if (!has_body || is_head_request_) message.body() = {};
  SetConnectionFields(message);
  stream_.expires_after(ToChrono(kWriteTimeout));
  NetErrorCode ec;
  co_await http::async_write(stream_, message,
                             asio::redirect_error(asio::use_awaitable, ec));
  stream_.expires_never();
  co_return !ec;
}

Task<bool> Front::Session::BeginStream(unsigned status,
                                       const http::fields& fields) {
  http::response<http::empty_body> message;
  static_cast<http::fields&>(message) = fields;
  message.version(11);
  message.result(status);
  message.chunked(true);
  SetConnectionFields(message);
  http::response_serializer<http::empty_body> serializer(message);
  stream_.expires_after(ToChrono(kWriteTimeout));
  NetErrorCode ec;
  co_await http::async_write_header(
      stream_, serializer, asio::redirect_error(asio::use_awaitable, ec));
  stream_.expires_never();
  co_return !ec;
}

Task<bool> Front::Session::Write(std::string_view bytes) {
  stream_.expires_after(ToChrono(kWriteTimeout));
  NetErrorCode ec;
  co_await asio::async_write(stream_, asio::buffer(bytes.data(), bytes.size()),
                             asio::redirect_error(asio::use_awaitable, ec));
  stream_.expires_never();
  co_return !ec;
}

Task<bool> Front::Session::WriteChunk(std::string_view bytes) {
  char head[24];
  const int n = snprintf(head, sizeof(head), "%zx\r\n", bytes.size());
  std::string chunk;
  chunk.reserve(bytes.size() + sizeof(head) + 2);
  chunk.append(head, static_cast<size_t>(n)).append(bytes).append("\r\n");
  const bool ok = co_await Write(chunk);
  co_return ok;
}

Task<bool> Front::Session::EndStream() {
  const bool ok = co_await Write("0\r\n\r\n");
  co_return ok;
}

CallerLimits Front::Limits() const {
  return view_.config != nullptr ? view_.config->limits : CallerLimits{};
}

bool Front::Listen(const Address& address) {
  acceptor_ = std::make_shared<asio::ip::tcp::acceptor>(loop_);
  if (!OpenAcceptor(*acceptor_, address)) return false;
  Spawn(loop_, Accept());
  return true;
}

void Front::StopAccepting() {
  // Connections that wait to be accepted would be reset.
  NetErrorCode ec;
  acceptor_->non_blocking(true, ec);
  while (!ec) {
    asio::ip::tcp::socket socket(loop_);
    acceptor_->accept(socket, ec);
    if (!ec) StartSession(std::move(socket));
  }
  acceptor_->close(ec);
  if (ec) kLog.Warning("Can't stop listening.", {{"error", ec.message()}});
}

Task<void> Front::Accept() {
  constexpr Ms kRetryInterval{20};
  while (acceptor_->is_open()) {
    NetErrorCode ec;
    asio::ip::tcp::socket socket(loop_);
    co_await acceptor_->async_accept(
        socket, asio::redirect_error(asio::use_awaitable, ec));
    if (!ec) {
      // Also if listening has ended meanwhile.
      StartSession(std::move(socket));
    } else if (acceptor_->is_open()) {
      kLog.Warning("Can't accept a connection.", {{"error", ec.message()}});
      co_await Sleep(loop_, kRetryInterval);
    }
  }
}

void Front::StartSession(asio::ip::tcp::socket socket) {
  auto session = std::make_shared<Session>(*this, std::move(socket));
  sessions_.insert(session);
  asio::co_spawn(loop_, session->Run(),
                 [this, session](const std::exception_ptr& failure) {
                   sessions_.erase(session);
                   if (failure) std::rethrow_exception(failure);
                 });
}

void Front::CloseIdle() {
  const std::vector<SessionPtr> all(sessions_.begin(), sessions_.end());
  for (const SessionPtr& session : all) session->CloseIfIdle();
}

namespace {

Task<void> ServeInternalConnection(beast::tcp_stream stream,
                                   const InternalHandler& handler) {
  beast::flat_buffer buf;
  while (true) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxInternalBodyBytes);
    stream.expires_after(ToChrono(kInternalTimeout));
    NetErrorCode ec;
    co_await http::async_read(stream, buf, parser,
                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec) break;
    HttpRequest call;
    call.method = parser.get().method();
    call.target = std::string(parser.get().target());
    call.body = std::move(parser.get().body());
    HttpResponse answer = co_await handler(call);
    if (answer.status == 0) break;
    http::response<http::string_body> message;
    message.version(11);
    message.result(answer.status);
    message.keep_alive(parser.get().keep_alive());
    message.body() = std::move(answer.body);
    message.prepare_payload();
    stream.expires_after(ToChrono(kInternalTimeout));
    co_await http::async_write(stream, message,
                               asio::redirect_error(asio::use_awaitable, ec));
    if (ec || !message.keep_alive()) break;
  }
}

Task<void> AcceptInternal(asio::io_context& loop,
                          std::shared_ptr<asio::ip::tcp::acceptor> acceptor,
                          std::shared_ptr<const InternalHandler> handler) {
  constexpr Ms kRetryInterval{20};
  while (true) {
    NetErrorCode ec;
    asio::ip::tcp::socket socket(loop);
    co_await acceptor->async_accept(
        socket, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      co_await Sleep(loop, kRetryInterval);
      continue;
    }
    socket.set_option(asio::ip::tcp::no_delay(true), ec);
    Spawn(loop, ServeInternalConnection(beast::tcp_stream(std::move(socket)),
                                        *handler));
  }
}

}  // namespace

bool ServeInternal(asio::io_context& loop, const Address& address,
                   InternalHandler handler) {
  auto acceptor = std::make_shared<asio::ip::tcp::acceptor>(loop);
  if (!OpenAcceptor(*acceptor, address)) return false;
  Spawn(loop, AcceptInternal(
                  loop, std::move(acceptor),
                  std::make_shared<const InternalHandler>(std::move(handler))));
  return true;
}

}  // namespace knapweed::gateway
