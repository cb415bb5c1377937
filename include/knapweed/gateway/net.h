#ifndef KNAPWEED_GATEWAY_NET_H_
#define KNAPWEED_GATEWAY_NET_H_

// The definition changes a class of Asio, so that all sources of a program need
// it.
#ifndef BOOST_ASIO_DISABLE_AWAITABLE_FRAME_RECYCLING
#error "Define BOOST_ASIO_DISABLE_AWAITABLE_FRAME_RECYCLING for all sources."
#endif

// clang-format off
// g++ 12 needs <utility> before Asio's coroutine headers.
#include <utility>

#include <boost/asio/awaitable.hpp>
// clang-format on

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <exception>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "knapweed/base/clock.h"
#include "knapweed/base/settings.h"

/// Aliases for the HTTP library and the utilities that the front, the upstream
/// channel and the store client share. All of it runs on one loop.
namespace knapweed::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

template <typename T>
using Task = asio::awaitable<T>;

using NetErrorCode = beast::error_code;

inline std::chrono::milliseconds ToChrono(Ms span) {
  return std::chrono::milliseconds(span.count);
}

/// Logs and counts an exception that escaped `what`. What escapes is an input
/// that no check foresaw, and one input must not end the process for all.
void ReportException(std::string_view what, const std::exception_ptr& failure);
/// Returns how many exceptions were reported in this process.
uint64_t ExceptionsReported();

/// Starts a detached coroutine. An exception that escapes it ends it, and is
/// reported.
void Spawn(asio::io_context& loop, Task<void> task);
/// Starts a coroutine that is to run until the loop stops. After an exception
/// it is started anew, from its beginning.
void SpawnForever(asio::io_context& loop, std::string what,
                  std::function<Task<void>()> start);
/// Runs one step of such a coroutine, such as a row of a table. Returns false
/// if an exception escaped, which is reported; the others can still be run.
bool RunStep(std::string_view what, const std::function<void()>& step);

/// Waits for `span`; returns early, without an error, if the loop stops.
Task<void> Sleep(asio::io_context& loop, Ms span);

/// A notification for which several coroutines can wait.
class Event {
 public:
  explicit Event(asio::io_context& loop) : loop_(loop) {}

  /// Waits for the next `Notify`, at most `span`. Returns whether it was
  /// notified.
  Task<bool> Wait(Ms span);
  /// Resumes all coroutines that are waiting.
  void Notify();

 private:
  asio::io_context& loop_;
  std::list<asio::steady_timer*> waiters_;
};

/// An HTTP request, complete with its body.
struct HttpRequest {
  http::verb method = http::verb::get;
  std::string target;
  std::string body;
};

/// An HTTP response, complete with its body.
struct HttpResponse {
  /// 0 if no complete response was received.
  unsigned status = 0;
  std::string body;
  /// No byte of the request was sent, so it can't have run.
  bool not_sent = false;
  /// Released when the response has been sent, by a server.
  std::shared_ptr<const void> held;
};

/// The bytes of a message from the store or another gateway while it is being
/// read. All messages of the process together are bounded, since any of them
/// may come without end.
class GatheredBytes {
 public:
  GatheredBytes() = default;
  GatheredBytes(const GatheredBytes&) = delete;
  GatheredBytes& operator=(const GatheredBytes&) = delete;
  ~GatheredBytes();

  /// Counts the memory that the message uses now. Returns false if there is no
  /// room for it; it must then be abandoned.
  bool Set(size_t bytes);

 private:
  size_t bytes_ = 0;
};

/// Most bytes that wait to be parsed, such as a chunk's extension or a trailer,
/// which the parser takes only as a whole.
inline constexpr size_t kMaxUnparsedBytes = size_t{64} << 10;

/// Reads a message with a string body, until its end or the stream's deadline.
/// Returns `no_buffer_space` if there is no room for it.
template <typename Parser>
Task<NetErrorCode> ReadMessage(beast::tcp_stream& stream,
                               beast::flat_buffer& buf, Parser& parser) {
  GatheredBytes gathered;
  NetErrorCode ec;
  parser.eager(true);
  while (!ec && !parser.is_done()) {
    co_await http::async_read_some(
        stream, buf, parser, asio::redirect_error(asio::use_awaitable, ec));
    const bool fits = gathered.Set(parser.get().body().capacity());
    if (!ec && !fits) ec = asio::error::no_buffer_space;
  }
  co_return ec;
}

/// HTTP client with a pool of connections to one address, for small requests.
class HttpClient {
 public:
  HttpClient(asio::io_context& loop, const Clock& clock, Address address);
  ~HttpClient();

  /// Sends `call` and waits at most `timeout` for the complete
  /// response.
  Task<HttpResponse> Send(const HttpRequest& call, Ms timeout);

  const Address& address() const { return address_; }

 private:
  struct Connection;
  using ConnectionPtr = std::unique_ptr<Connection>;

  Task<ConnectionPtr> Open(Ms timeout);

  asio::io_context& loop_;
  const Clock& clock_;
  Address address_;
  std::list<ConnectionPtr> idle_;
};

/// Opens a connection; returns false if that fails or takes over `timeout`.
/// `socket_buffer_bytes` is the size of each of its buffers; 0 leaves it to the
/// kernel.
Task<bool> Connect(beast::tcp_stream& stream, const Address& address,
                   Ms timeout, size_t socket_buffer_bytes = 0);

/// Listens on `address`; returns false and logs if that fails. Accepted
/// connections get buffers of `socket_buffer_bytes`; 0 leaves it to the kernel.
bool OpenAcceptor(asio::ip::tcp::acceptor& acceptor, const Address& address,
                  size_t socket_buffer_bytes);

/// Returns whether an idle connection can carry another request: it is open and
/// has no unexpected bytes to read.
bool IsReusable(beast::tcp_stream& stream);

/// Returns whether reading a request failed because of what was sent, not
/// because of the connection.
bool IsParseError(const NetErrorCode& ec);
/// Returns the HTTP status that tells a caller why its request was not read.
unsigned StatusOfParseError(const NetErrorCode& ec);

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_NET_H_
