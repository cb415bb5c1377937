#ifndef KNAPWEED_WIRE_RPC_H_
#define KNAPWEED_WIRE_RPC_H_

#include <functional>
#include <memory>
#include <string_view>
#include <utility>

#include "absl/status/statusor.h"
#include "knapweed/base/clock.h"
#include "knapweed/base/settings.h"
#include "knapweed/wire/frame.h"
#include "knapweed/wire/wire_generated.h"

namespace knapweed {

/// Wraps a message for sending. Example: `Wrap(wire::FenceT{{}, 3, 8})`.
template <typename T>
wire::BodyUnion Wrap(T message) {
  wire::BodyUnion body;
  body.Set(std::move(message));
  return body;
}

/// Sends the reply to one received request. Copies refer to the same request.
/// Safe from any thread; may outlive the connection and the server, after which
/// sending has no effect.
class ReplyHandle {
 public:
  struct State;
  explicit ReplyHandle(std::shared_ptr<State> state)
      : state_(std::move(state)) {}

  /// Sends a Chunk or the final message of the reply, without blocking. Returns
  /// false if it was not sent because `PeerGone` or the connection failed. A
  /// message over kMaxFrameBytes is replaced by a Failure with kTooLarge and an
  /// unknown run state.
  bool Send(const wire::BodyUnion& body) const;
  /// Whether nobody waits for the reply any more: the peer has cancelled the
  /// request or its connection is closed.
  bool PeerGone() const;

 private:
  std::shared_ptr<State> state_;
};

/// Handles one request. Called on a network thread, so it must not block; move
/// blocking work to other threads.
using RpcHandler =
    std::function<void(wire::BodyUnion request, ReplyHandle reply)>;

/// A server that passes each received message to the handler, except for
/// cancellations of its requests. A malformed or oversized frame closes its
/// connection with one log line and does not affect other connections. The
/// destructor waits for running handlers, so a handler must not destroy its
/// server, and waits up to 1 s for queued replies to be written.
class RpcServer {
 public:
  /// Starts listening and serving. Returns Unavailable if the server can't
  /// listen on the address.
  static absl::StatusOr<std::unique_ptr<RpcServer>> Start(const Address& listen,
                                                          RpcHandler handler);
  ~RpcServer();
  RpcServer(const RpcServer&) = delete;
  RpcServer& operator=(const RpcServer&) = delete;

 private:
  struct Impl;
  explicit RpcServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

/// Receives the data of Chunk messages in order, on the thread that waits in
/// `Call`. While no message arrives it is called periodically with empty data,
/// so that it can cancel the call. Returning false cancels: `Call` returns
/// Cancelled, and `PeerGone` of the server's ReplyHandle becomes true.
using ChunkSink = std::function<bool(std::string_view)>;

/// An RPC client with one connection to one peer, shared by concurrent calls.
/// It connects on first use, and reconnects after the connection broke, with
/// jittered exponential back-off. Safe from any thread.
///
/// Errors of `Call`: Unavailable if the request was certainly not sent, which
/// is returned immediately during the back-off; InvalidArgument if the request
/// is over kMaxFrameBytes; Unknown if the connection broke after the request
/// was sent; DeadlineExceeded; Cancelled.
class RpcClient {
 public:
  explicit RpcClient(Address peer);
  ~RpcClient();
  RpcClient(const RpcClient&) = delete;
  RpcClient& operator=(const RpcClient&) = delete;

  /// Sends a request and returns the final message of the reply. Blocks until
  /// it arrives, the timeout passes, the connection closes or `on_chunk`
  /// cancels.
  absl::StatusOr<wire::BodyUnion> Call(const wire::BodyUnion& request,
                                       Ms timeout,
                                       const ChunkSink& on_chunk = {});
  /// Whether there is an open connection to the peer.
  bool connected() const;
  const Address& peer() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// A pool of clients, one for each peer address. Safe from any thread.
class RpcPool {
 public:
  RpcPool();
  ~RpcPool();
  /// Returns the client for `peer`, created on first use.
  std::shared_ptr<RpcClient> Get(const Address& peer);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweed

#endif  // KNAPWEED_WIRE_RPC_H_
