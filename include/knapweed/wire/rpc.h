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

/// Answers one received request. Copies share the request; any thread may use
/// it at any time, also after the peer or the server is gone, when sending does
/// nothing.
class ReplyHandle {
 public:
  struct State;
  explicit ReplyHandle(std::shared_ptr<State> state)
      : state_(std::move(state)) {}

  /// Sends a Chunk, or the last message of the answer. False when the peer is
  /// gone. A message over kMaxFrameBytes is replaced by a Failure of kTooLarge
  /// whose run state is unknown.
  bool Send(const wire::BodyUnion& body) const;
  bool PeerGone() const;

 private:
  std::shared_ptr<State> state_;
};

/// Called on a network thread; must not block. Work that waits goes to the
/// handler's own threads.
using RpcHandler =
    std::function<void(wire::BodyUnion request, ReplyHandle reply)>;

/// Accepts connections and hands every frame to the handler. A malformed or
/// oversized frame closes its connection with one log line and touches nothing
/// else. The destructor waits for running handlers, so no handler may destroy
/// its server, and gives answers already sent a moment to leave.
class RpcServer {
 public:
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

/// Takes the data of Chunk messages in order, and now and then an empty piece
/// that only asks whether anyone still listens. Called on the thread that waits
/// in `Call`; false stops listening: `Call` returns Cancelled, and the peer's
/// ReplyHandle finds its peer gone.
using ChunkSink = std::function<bool(std::string_view)>;

/// One connection to one peer, with many calls in flight; made on first use and
/// made again after it broke, with jittered back-off. Safe from any thread.
///
/// Errors of `Call`: Unavailable when the request was certainly not sent, at
/// once while the back-off lasts; InvalidArgument when it is over
/// kMaxFrameBytes; Unknown when the connection broke after sending;
/// DeadlineExceeded; Cancelled.
class RpcClient {
 public:
  explicit RpcClient(Address peer);
  ~RpcClient();
  RpcClient(const RpcClient&) = delete;
  RpcClient& operator=(const RpcClient&) = delete;

  /// Blocks until the answer's last message, the timeout, or the end of the
  /// connection.
  absl::StatusOr<wire::BodyUnion> Call(const wire::BodyUnion& request,
                                       Ms timeout,
                                       const ChunkSink& on_chunk = {});
  bool connected() const;
  const Address& peer() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// The clients of a process, one for each peer address. Safe from any thread.
class RpcPool {
 public:
  RpcPool();
  ~RpcPool();
  std::shared_ptr<RpcClient> Get(const Address& peer);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweed

#endif  // KNAPWEED_WIRE_RPC_H_
