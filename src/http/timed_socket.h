#ifndef KNAPWEED_SRC_HTTP_TIMED_SOCKET_H_
#define KNAPWEED_SRC_HTTP_TIMED_SOCKET_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <cstdint>

#include "absl/status/statusor.h"
#include "knapweed/base/clock.h"
#include "knapweed/base/settings.h"

/// The socket and connection types of the blocking HTTP client and server.
namespace knapweed {

using HttpErrorCode = boost::beast::error_code;

/// A blocking TCP socket whose reads and writes fail with `timed_out` at a
/// deadline. It meets the SyncReadStream and SyncWriteStream requirements of
/// Boost.Asio, so that Boost.Beast can use it. Not thread-safe, except for
/// `Shutdown`.
class TimedSocket {
 public:
  explicit TimedSocket(boost::asio::io_context& context) : socket_(context) {}

  /// Connects to a server. Returns Unavailable if it fails or takes until after
  /// `deadline`.
  absl::Status Connect(const Address& server, Ms deadline);
  /// Sets the options of a socket that was accepted through `socket()`. Returns
  /// Unavailable if that fails.
  absl::Status ConfigureAccepted();
  boost::asio::ip::tcp::socket& socket() { return socket_; }
  /// Sets the time at which further reads and writes fail with `timed_out`.
  void SetDeadline(Ms deadline) { deadline_ = deadline; }
  /// Shuts the connection down, which makes blocked reads and writes return;
  /// the descriptor stays open. Safe from any thread.
  void Shutdown();

  // NOLINTBEGIN(readability-identifier-naming): names required by Boost.Asio
  template <typename Buffers>
  size_t read_some(const Buffers& buffers, HttpErrorCode& ec) {
    while (true) {
      const size_t n = socket_.read_some(buffers, ec);
      if (ec != boost::asio::error::would_block) return n;
      if (!Wait(true, ec)) return 0;
    }
  }

  template <typename Buffers>
  size_t write_some(const Buffers& buffers, HttpErrorCode& ec) {
    while (true) {
      const size_t n = socket_.write_some(buffers, ec);
      if (ec != boost::asio::error::would_block) return n;
      if (!Wait(false, ec)) return 0;
    }
  }

  // The overloads that throw are part of the stream requirements that
  // Boost.Beast checks at compile time; its functions with an error code do not
  // call them.
  template <typename Buffers>
  size_t read_some(const Buffers& buffers) {
    HttpErrorCode ec;
    const size_t n = read_some(buffers, ec);
    if (ec) throw boost::system::system_error(ec);
    return n;
  }

  template <typename Buffers>
  size_t write_some(const Buffers& buffers) {
    HttpErrorCode ec;
    const size_t n = write_some(buffers, ec);
    if (ec) throw boost::system::system_error(ec);
    return n;
  }
  // NOLINTEND(readability-identifier-naming)

 private:
  /// Waits until the socket is readable or writable. Returns false with `ec`
  /// set at the deadline or if poll() fails.
  bool Wait(bool to_read, HttpErrorCode& ec);

  boost::asio::ip::tcp::socket socket_;
  const Clock clock_ = Clock::Steady();
  Ms deadline_;
};

/// Most bytes of the head of a message.
inline constexpr uint32_t kMaxHeaderBytes = 64 << 10;

/// A connection and the bytes read from it that are not parsed yet.
struct HttpConnection {
  explicit HttpConnection(boost::asio::io_context& context) : socket(context) {}
  TimedSocket socket;
  /// Bounded, since a chunk's extension and a trailer are parsed only as a
  /// whole; a head that is too large exceeds its own limit first.
  boost::beast::flat_buffer buf{size_t{2} * kMaxHeaderBytes};
};

}  // namespace knapweed

#endif  // KNAPWEED_SRC_HTTP_TIMED_SOCKET_H_
