#ifndef KNAPWEED_GATEWAY_NET_H_
#define KNAPWEED_GATEWAY_NET_H_

// g++ 12 needs <utility> before Asio's coroutine headers.
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
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "knapweed/base/clock.h"
#include "knapweed/base/settings.h"

/// Names of the HTTP library and the few pieces over it that the front, the
/// upstream channel and the store client share. All of it runs on one loop.
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

/// Runs a coroutine on its own; an exception that leaves it ends the process,
/// since it can only be a broken invariant.
void Spawn(asio::io_context& loop, Task<void> task);

/// Waits; returns early without an error when the loop stops.
Task<void> Sleep(asio::io_context& loop, Ms span);

/// Wakes coroutines that wait for something to change.
class Event {
 public:
  explicit Event(asio::io_context& loop) : loop_(loop) {}

  /// Waits for the next `Notify`, at most `span`. True when it was notified.
  Task<bool> Wait(Ms span);
  /// Wakes all that wait now.
  void Notify();

 private:
  asio::io_context& loop_;
  std::list<asio::steady_timer*> waiters_;
};

/// A request and its answer, as one value each.
struct HttpRequest {
  http::verb method = http::verb::get;
  std::string target;
  std::string body;
};

struct HttpResponse {
  /// 0 when no whole answer came.
  unsigned status = 0;
  std::string body;
  /// Not one byte of the request left this process.
  bool not_sent = false;
};

/// Kept connections to one address, for small calls with whole answers.
class HttpClient {
 public:
  HttpClient(asio::io_context& loop, const Clock& clock, Address address);
  ~HttpClient();

  /// Sends `call` and waits at most `timeout` for the whole answer.
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

/// Makes a new connection in at most `timeout`; false when that failed.
Task<bool> Connect(beast::tcp_stream& stream, const Address& address,
                   Ms timeout);

/// Whether an idle connection is still open and silent: a closed one, or one
/// with bytes that nobody asked for, can't carry another request.
bool IsReusable(beast::tcp_stream& stream);

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_NET_H_
