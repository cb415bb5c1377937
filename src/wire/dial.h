#ifndef KNAPWEED_SRC_WIRE_DIAL_H_
#define KNAPWEED_SRC_WIRE_DIAL_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "io_threads.h"
#include "knapweed/base/settings.h"

namespace knapweed {

/// One attempt to connect to a peer within a time limit. Calls `done` exactly
/// once, on the loop, with an error or the connected socket.
class Dial : public std::enable_shared_from_this<Dial> {
 public:
  using Done = std::function<void(boost::system::error_code,
                                  boost::asio::ip::tcp::socket)>;

  Dial(IoThreads::Loop loop, Done done);
  /// Starts the attempt. Safe from any thread; call it once.
  void Start(const Address& peer, Ms timeout);
  /// Aborts the attempt; `done` is called with an error unless it has been
  /// called already. Safe from any thread.
  void Cancel();

 private:
  void Finish(boost::system::error_code ec);

  IoThreads::Loop loop_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  Done done_;
};

}  // namespace knapweed

#endif  // KNAPWEED_SRC_WIRE_DIAL_H_
