#ifndef KNAPWEED_SRC_WIRE_CONNECTION_H_
#define KNAPWEED_SRC_WIRE_CONNECTION_H_

#include <flatbuffers/flatbuffers.h>

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "io_threads.h"
#include "knapweed/wire/frame.h"

namespace knapweed {

/// One TCP connection that carries frames both ways. `Send` and `Close` are
/// safe from any thread; everything else happens on the connection's loop.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  /// Set just before the first byte of a frame is handed to the system.
  using SentFlag = std::shared_ptr<std::atomic<bool>>;

  struct Events {
    std::function<void(Message)> on_message;
    /// Called once, on the loop, after the connection closed.
    std::function<void()> on_close;
  };

  Connection(IoThreads::Loop loop, Socket socket);

  /// Starts reading; called once, on the loop or before anybody else knows the
  /// connection.
  void Start(Events events);
  /// Queues a frame. False when the connection is closed; then the frame was
  /// not sent and never will be.
  bool Send(flatbuffers::DetachedBuffer frame, SentFlag sent = nullptr);
  void Close();
  /// Takes no more frames, and closes when those queued before are written.
  void CloseAfterWrites();
  bool closed() const { return closed_.load(); }

 private:
  struct Outgoing {
    flatbuffers::DetachedBuffer frame;
    SentFlag sent;
  };

  void Read();
  void OnRead(size_t n);
  /// Takes all whole frames out of the buffer. False when one was bad.
  bool HandleFrames();
  bool HandleFrame(std::span<const uint8_t> bytes);
  void Reserve(size_t wanted);
  void Write();
  void OnWritten();
  void CloseWithWarning(std::string_view reason);
  void CloseOnLoop();

  // Destroyed last: the socket needs its loop.
  IoThreads::Loop loop_;
  Socket socket_;
  std::string peer_;
  Events events_;

  // Bytes read and not yet taken are [begin_, end_) of buf_.
  std::vector<uint8_t> buf_;
  size_t begin_ = 0;
  size_t end_ = 0;
  std::vector<uint8_t> aligned_;

  std::atomic<bool> closed_{false};
  std::mutex mu_;
  std::vector<Outgoing> queue_;
  size_t queued_bytes_ = 0;
  bool writing_ = false;
  bool draining_ = false;
  std::vector<Outgoing> batch_;
};

}  // namespace knapweed

#endif  // KNAPWEED_SRC_WIRE_CONNECTION_H_
