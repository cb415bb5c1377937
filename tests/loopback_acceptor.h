#ifndef KNAPWEED_TESTS_LOOPBACK_ACCEPTOR_H_
#define KNAPWEED_TESTS_LOOPBACK_ACCEPTOR_H_

#include <functional>
#include <utility>

#include "knapweed/gateway/net.h"

namespace knapweed::gateway {

/// Accepts connections at a free port until the loop ends.
class LoopbackAcceptor {
 public:
  using Serve = std::function<void(beast::tcp_stream)>;

  LoopbackAcceptor(asio::io_context& loop, Serve serve)
      : loop_(loop),
        acceptor_(loop, {asio::ip::make_address_v4("127.0.0.1"), 0}),
        serve_(std::move(serve)) {
    Spawn(loop, Accept());
  }
  Address address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

 private:
  Task<void> Accept() {
    while (true) {
      NetErrorCode ec;
      asio::ip::tcp::socket socket(loop_);
      co_await acceptor_.async_accept(
          socket, asio::redirect_error(asio::use_awaitable, ec));
      if (ec) co_return;
      serve_(beast::tcp_stream(std::move(socket)));
    }
  }

  asio::io_context& loop_;
  asio::ip::tcp::acceptor acceptor_;
  Serve serve_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_TESTS_LOOPBACK_ACCEPTOR_H_
