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

/// A TCP connection that carries frames in both directions. Reads, writes and
/// callbacks run on the connection's event loop. `Send`, `Close`,
/// `CloseAfterWrites` and `closed` are safe from any thread.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  /// Set just before the first byte of a frame is passed to the operating
  /// system.
  using SentFlag = std::shared_ptr<std::atomic<bool>>;

  struct Events {
    /// Called on the loop for each received message.
    std::function<void(Message)> on_message;
    /// Called once, on the loop, after the connection closed.
    std::function<void()> on_close;
  };

  Connection(IoThreads::Loop loop, Socket socket);

  /// Starts reading. Call it once, on the loop or before the connection is
  /// shared with other threads.
  void Start(Events events);
  /// Queues a frame for writing. Returns false if the connection is closed or
  /// closing, or if its queue is full; the frame is then never sent. A full
  /// queue also closes the connection.
  bool Send(flatbuffers::DetachedBuffer frame, SentFlag sent = nullptr);
  /// Closes the connection soon, on the loop.
  void Close();
  /// Accepts no more frames, and closes once the queued ones are written.
  void CloseAfterWrites();
  bool closed() const { return closed_.load(); }

 private:
  struct Outgoing {
    flatbuffers::DetachedBuffer frame;
    SentFlag sent;
  };

  void Read();
  void OnRead(size_t n);
  /// Passes all complete frames in the buffer to `on_message`. Returns false if
  /// one was invalid and the connection was closed.
  bool HandleFrames();
  bool HandleFrame(std::span<const uint8_t> bytes);
  /// Makes room in the read buffer for a frame of `wanted` bytes.
  void Reserve(size_t wanted);
  void Write();
  void OnWritten();
  void CloseWithWarning(std::string_view reason);
  void CloseOnLoop();

  // Declared before the socket, which needs the loop until it is destroyed.
  IoThreads::Loop loop_;
  Socket socket_;
  std::string peer_;
  Events events_;

  // The bytes that are read but not yet parsed are [begin_, end_) of buf_.
  std::vector<uint8_t> buf_;
  size_t begin_ = 0;
  size_t end_ = 0;
  // Copy of a frame that is not aligned in buf_.
  std::vector<uint8_t> aligned_;

  std::atomic<bool> closed_{false};
  // mu_ guards the members below up to draining_, and changes of closed_.
  std::mutex mu_;
  std::vector<Outgoing> queue_;
  size_t queued_bytes_ = 0;
  bool writing_ = false;
  bool draining_ = false;
  // The frames of the write in progress; used on the loop only.
  std::vector<Outgoing> batch_;
};

}  // namespace knapweed

#endif  // KNAPWEED_SRC_WIRE_CONNECTION_H_
