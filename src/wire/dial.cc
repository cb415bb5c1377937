#include "dial.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace knapweed {

namespace asio = boost::asio;

Dial::Dial(IoThreads::Loop loop, Done done)
    : loop_(std::move(loop)),
      socket_(*loop_),
      timer_(*loop_),
      done_(std::move(done)) {}

void Dial::Start(const Address& peer, Ms timeout) {
  boost::system::error_code ec;
  const auto host = asio::ip::make_address_v4(peer.host, ec);
  asio::post(
      *loop_, [self = shared_from_this(), host, port = peer.port, timeout, ec] {
        if (ec) return self->Finish(ec);
        self->timer_.expires_after(std::chrono::milliseconds(timeout.count));
        self->timer_.async_wait([self](boost::system::error_code timer_ec) {
          if (!timer_ec) self->Finish(asio::error::timed_out);
        });
        self->socket_.async_connect(
            {host, port}, [self](boost::system::error_code connect_ec) {
              self->Finish(connect_ec);
            });
      });
}

void Dial::Cancel() {
  asio::post(*loop_, [self = shared_from_this()] {
    self->Finish(asio::error::operation_aborted);
  });
}

void Dial::Finish(boost::system::error_code ec) {
  const Done done = std::exchange(done_, nullptr);
  if (!done) return;
  timer_.cancel();
  if (ec) {
    boost::system::error_code ignored;
    socket_.close(ignored);
  }
  done(ec, std::move(socket_));
}

}  // namespace knapweed
