#include "timed_socket.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <cerrno>
#include <limits>
#include <string>

#include "absl/strings/str_cat.h"

namespace knapweed {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

absl::Status ConnectError(const Address& server, const HttpErrorCode& ec) {
  return absl::UnavailableError(
      absl::StrCat("can't connect to ", server.ToString(), ": ", ec.message()));
}

tcp::endpoint Resolve(asio::io_context& context, const Address& server,
                      HttpErrorCode& ec) {
  const auto address = asio::ip::make_address(server.host, ec);
  if (!ec) return {address, static_cast<uint16_t>(server.port)};
  tcp::resolver resolver(context);
  const auto found =
      resolver.resolve(server.host, std::to_string(server.port), ec);
  return ec ? tcp::endpoint() : found.begin()->endpoint();
}

}  // namespace

absl::Status TimedSocket::Connect(const Address& server, Ms deadline) {
  SetDeadline(deadline);
  HttpErrorCode ec;
  auto& context =
      static_cast<asio::io_context&>(socket_.get_executor().context());
  const tcp::endpoint endpoint = Resolve(context, server, ec);
  if (ec) return ConnectError(server, ec);
  socket_.open(endpoint.protocol(), ec);
  if (ec) return ConnectError(server, ec);
  socket_.non_blocking(true, ec);
  if (ec) return ConnectError(server, ec);
  socket_.connect(endpoint, ec);
  if (ec == asio::error::in_progress || ec == asio::error::would_block) {
    if (!Wait(false, ec)) return ConnectError(server, ec);
    int error = 0;
    socklen_t n = sizeof(error);
    getsockopt(socket_.native_handle(), SOL_SOCKET, SO_ERROR, &error, &n);
    ec.assign(error, boost::system::system_category());
  }
  if (ec) return ConnectError(server, ec);
  socket_.set_option(tcp::no_delay(true), ec);
  return absl::OkStatus();
}

absl::Status TimedSocket::ConfigureAccepted() {
  HttpErrorCode ec;
  socket_.non_blocking(true, ec);
  if (ec) return absl::UnavailableError(ec.message());
  socket_.set_option(tcp::no_delay(true), ec);
  return absl::OkStatus();
}

void TimedSocket::Shutdown() {
  // Uses the descriptor, since the socket object is in use by another thread
  // and is not thread-safe.
  shutdown(socket_.native_handle(), SHUT_RDWR);
}

bool TimedSocket::Wait(bool to_read, HttpErrorCode& ec) {
  while (true) {
    const int64_t remaining_ms = (deadline_ - clock_.Now()).count;
    if (remaining_ms <= 0) {
      ec = asio::error::timed_out;
      return false;
    }
    pollfd ready{};
    ready.fd = socket_.native_handle();
    ready.events = static_cast<int16_t>(to_read ? POLLIN : POLLOUT);
    const int64_t timeout_ms =
        std::min<int64_t>(remaining_ms, std::numeric_limits<int>::max());
    const int n = poll(&ready, 1, static_cast<int>(timeout_ms));
    if (n > 0) {
      ec.clear();
      return true;
    }
    if (n < 0 && errno != EINTR) {
      ec.assign(errno, boost::system::system_category());
      return false;
    }
  }
}

}  // namespace knapweed
