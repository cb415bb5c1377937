#ifndef KNAPWEED_SRC_HTTP_TIMED_SOCKET_H_
#define KNAPWEED_SRC_HTTP_TIMED_SOCKET_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>

#include "absl/status/statusor.h"
#include "knapweed/base/clock.h"
#include "knapweed/base/settings.h"

/// What the blocking client and the blocking server share.
namespace knapweed {

using HttpErrorCode = boost::beast::error_code;

/// A blocking TCP socket whose reads and writes end at a deadline with
/// `timed_out`. The HTTP library reads and writes it as a synchronous stream,
/// which is why some names here are the library's. One thread at a time, but
/// for `Shutdown`.
class TimedSocket {
 public:
  explicit TimedSocket(boost::asio::io_context& context) : socket_(context) {}

  /// Connects before `deadline`. Unavailable when that failed.
  absl::Status Connect(const Address& server, Ms deadline);
  /// Takes over an accepted connection.
  absl::Status ConfigureAccepted();
  boost::asio::ip::tcp::socket& socket() { return socket_; }
  /// When the reads and writes that follow give up.
  void SetDeadline(Ms deadline) { deadline_ = deadline; }
  /// Ends a read that another thread is in; the socket stays open.
  void Shutdown();

  // NOLINTBEGIN(readability-identifier-naming): names that the library asks for
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

  // The library's checks ask for these as well; its calls with an error code
  // never use them.
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
  /// Waits until the socket can be read or written; false with `ec` set at the
  /// deadline.
  bool Wait(bool to_read, HttpErrorCode& ec);

  boost::asio::ip::tcp::socket socket_;
  const Clock clock_ = Clock::Steady();
  Ms deadline_;
};

/// A connection with what was read from it and not used yet.
struct HttpConnection {
  explicit HttpConnection(boost::asio::io_context& context) : socket(context) {}
  TimedSocket socket;
  boost::beast::flat_buffer buf;
};

}  // namespace knapweed

#endif  // KNAPWEED_SRC_HTTP_TIMED_SOCKET_H_
