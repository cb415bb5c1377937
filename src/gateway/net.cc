#include "knapweed/gateway/net.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <exception>

#include "knapweed/base/http_status.h"
#include "knapweed/base/log.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("front");
constexpr Logger kExceptionLog("task");

uint64_t exceptions_reported = 0;

/// Bytes of the messages that are being read, and their most: twice the largest
/// one, since a string that grows takes up to twice its size. A short message
/// is read whatever the others hold.
size_t gathered_bytes = 0;
constexpr size_t kMaxGatheredBytes = size_t{32} << 20;
constexpr size_t kShortMessageBytes = size_t{64} << 10;

/// Maximum number of idle connections to one address, and their maximum idle
/// time: a peer may have dropped an older one without closing it.
constexpr size_t kMaxIdleConnections = 4;
constexpr Ms kMaxIdleTime{5000};
constexpr size_t kMaxResponseBytes = 16 << 20;
constexpr int kListenBacklog = 1024;

/// Segment size of connections whose buffers are bounded. Segments of 64 KB, as
/// loopback has them, fill such a buffer at once, and each then waits 40 ms for
/// a delayed acknowledgement; networks have smaller ones anyway.
constexpr int kMaxSegmentBytes = 8 << 10;

/// Sets the size of both buffers of a socket that is not yet connected, so that
/// the window that it offers fits the size.
template <typename Socket>
void SetBufferBytes(Socket& socket, size_t bytes, NetErrorCode& ec) {
  if (ec || bytes == 0) return;
  const int size = static_cast<int>(bytes);
  socket.set_option(asio::socket_base::receive_buffer_size(size), ec);
  if (!ec) socket.set_option(asio::socket_base::send_buffer_size(size), ec);
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &kMaxSegmentBytes,
             sizeof(kMaxSegmentBytes));
}

}  // namespace

void ReportException(std::string_view what, const std::exception_ptr& failure) {
  ++exceptions_reported;
  std::string text = "unknown";
  try {
    std::rethrow_exception(failure);
  } catch (const std::exception& error) {
    text = error.what();
  } catch (...) {
    // Its type is all that could be told.
  }
  kExceptionLog.Error("An exception escaped.",
                      {{"from", what}, {"error", text}});
}

uint64_t ExceptionsReported() { return exceptions_reported; }

void Spawn(asio::io_context& loop, Task<void> task) {
  asio::co_spawn(loop, std::move(task), [](const std::exception_ptr& failure) {
    if (failure) ReportException("a task", failure);
  });
}

namespace {

Task<void> RunForever(asio::io_context& loop, std::string what,
                      std::function<Task<void>()> start) {
  // Keeps one bad input from taking the processor.
  constexpr Ms kPause{250};
  while (true) {
    std::exception_ptr failure;
    try {
      co_await start();
    } catch (...) {
      failure = std::current_exception();
    }
    if (!failure) co_return;
    ReportException(what, failure);
    co_await Sleep(loop, kPause);
  }
}

}  // namespace

void SpawnForever(asio::io_context& loop, std::string what,
                  std::function<Task<void>()> start) {
  Spawn(loop, RunForever(loop, std::move(what), std::move(start)));
}

bool RunStep(std::string_view what, const std::function<void()>& step) {
  try {
    step();
  } catch (...) {
    ReportException(what, std::current_exception());
    return false;
  }
  return true;
}

Task<void> Sleep(asio::io_context& loop, Ms span) {
  asio::steady_timer timer(loop, ToChrono(span));
  NetErrorCode ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

Task<bool> Event::Wait(Ms span) {
  asio::steady_timer timer(loop_, ToChrono(span));
  const auto it = waiters_.insert(waiters_.end(), &timer);
  NetErrorCode ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  waiters_.erase(it);
  co_return ec == asio::error::operation_aborted;
}

void Event::Notify() {
  for (asio::steady_timer* timer : waiters_) timer->cancel();
}

GatheredBytes::~GatheredBytes() { gathered_bytes -= bytes_; }

bool GatheredBytes::Set(size_t bytes) {
  gathered_bytes += bytes - bytes_;
  bytes_ = bytes;
  return bytes <= kShortMessageBytes || gathered_bytes <= kMaxGatheredBytes;
}

struct HttpClient::Connection {
  explicit Connection(asio::io_context& loop) : stream(loop) {}
  beast::tcp_stream stream;
  beast::flat_buffer buf{kMaxUnparsedBytes};
  Ms idle_since;
};

HttpClient::HttpClient(asio::io_context& loop, const Clock& clock,
                       Address address)
    : loop_(loop), clock_(clock), address_(std::move(address)) {}

HttpClient::~HttpClient() = default;

Task<bool> Connect(beast::tcp_stream& stream, const Address& address,
                   Ms timeout, size_t socket_buffer_bytes) {
  NetErrorCode ec;
  const asio::ip::tcp::endpoint endpoint(
      asio::ip::make_address_v4(address.host, ec), address.port);
  if (!ec && socket_buffer_bytes > 0) {
    stream.socket().open(endpoint.protocol(), ec);
    SetBufferBytes(stream.socket(), socket_buffer_bytes, ec);
  }
  if (ec) co_return false;
  stream.expires_after(ToChrono(timeout));
  co_await stream.async_connect(endpoint,
                                asio::redirect_error(asio::use_awaitable, ec));
  if (ec) co_return false;
  stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
  co_return true;
}

bool OpenAcceptor(asio::ip::tcp::acceptor& acceptor, const Address& address,
                  size_t socket_buffer_bytes) {
  NetErrorCode ec;
  const asio::ip::tcp::endpoint endpoint(
      asio::ip::make_address_v4(address.host, ec), address.port);
  if (!ec) acceptor.open(endpoint.protocol(), ec);
  if (!ec) acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  SetBufferBytes(acceptor, socket_buffer_bytes, ec);
  if (!ec) acceptor.bind(endpoint, ec);
  if (!ec) acceptor.listen(kListenBacklog, ec);
  if (ec) {
    kLog.Error("Can't listen.",
               {{"address", address.ToString()}, {"error", ec.message()}});
  }
  return !ec;
}

bool IsReusable(beast::tcp_stream& stream) {
  char byte = 0;
  const ssize_t n =
      recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

Task<HttpClient::ConnectionPtr> HttpClient::Open(Ms timeout) {
  while (!idle_.empty()) {
    ConnectionPtr conn = std::move(idle_.back());
    idle_.pop_back();
    if (clock_.Now() - conn->idle_since < kMaxIdleTime &&
        IsReusable(conn->stream)) {
      co_return conn;
    }
  }
  auto conn = std::make_unique<Connection>(loop_);
  const bool open = co_await Connect(conn->stream, address_, timeout);
  if (!open) co_return nullptr;
  co_return conn;
}

Task<HttpResponse> HttpClient::Send(const HttpRequest& call, Ms timeout) {
  HttpResponse answer;
  const Ms deadline = clock_.Now() + timeout;
  ConnectionPtr conn = co_await Open(timeout);
  if (conn == nullptr) {
    answer.not_sent = true;
    co_return answer;
  }
  const Ms left = std::max(deadline - clock_.Now(), Ms{1});
  conn->stream.expires_after(ToChrono(left));
  // A view: the body may be large, and `call` outlives the request.
  http::request<http::span_body<const char>> request(call.method, call.target,
                                                     11);
  request.set(http::field::host, address_.ToString());
  if (!call.body.empty()) {
    request.set(http::field::content_type, "application/json");
    request.body() = {call.body.data(), call.body.size()};
  }
  request.prepare_payload();
  NetErrorCode ec;
  co_await http::async_write(conn->stream, request,
                             asio::redirect_error(asio::use_awaitable, ec));
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxResponseBytes);
  if (!ec) {
    ec = co_await ReadMessage(conn->stream, conn->buf, parser);
  }
  // An interim answer is not asked for, and its final one is not waited for.
  const bool is_answer =
      !ec && StatusKindOf(parser.get().result_int()) == StatusKind::kFinal;
  if (!is_answer) {
    // What silenced this connection may have silenced the idle ones too; a new
    // one shows whether the peer is alive.
    idle_.clear();
    co_return answer;
  }
  answer.status = parser.get().result_int();
  answer.body = std::move(parser.get().body());
  const bool reusable = parser.get().keep_alive() && conn->buf.size() == 0;
  if (reusable && idle_.size() < kMaxIdleConnections) {
    conn->stream.expires_never();
    conn->idle_since = clock_.Now();
    idle_.push_back(std::move(conn));
  }
  co_return answer;
}

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

}  // namespace knapweed::gateway
