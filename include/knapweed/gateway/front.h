#ifndef KNAPWEED_GATEWAY_FRONT_H_
#define KNAPWEED_GATEWAY_FRONT_H_

#include <memory>
#include <set>
#include <string>

#include "knapweed/gateway/call_runner.h"

/// HTTP server of the gateway for callers.
namespace knapweed::gateway {

/// Accepts callers' connections, reads requests within the limits and passes
/// them to the call runner. `Gateway` owns it.
class Front {
 public:
  Front(asio::io_context& loop, const Clock& clock, const Dialect& dialect,
        FleetView& view, HeldMemory& memory, CallRunner& runner)
      : loop_(loop),
        clock_(clock),
        dialect_(dialect),
        view_(view),
        memory_(memory),
        runner_(runner) {}

  /// Starts to listen and serve; returns false if it can't listen on the
  /// address.
  bool Listen(const Address& address);
  /// From now on closes each connection after its next response, so that
  /// callers reconnect to another gateway; after the last one, if it holds more
  /// requests already.
  void BeginDraining() { draining_ = true; }
  /// Closes the listening socket.
  void StopAccepting();
  /// Closes connections on which no request is in progress or being read.
  void CloseIdle();
  size_t connections() const { return sessions_.size(); }

 private:
  class Session;
  using SessionPtr = std::shared_ptr<Session>;

  Task<void> Accept();
  void StartSession(asio::ip::tcp::socket socket);
  CallerLimits Limits() const;

  asio::io_context& loop_;
  const Clock& clock_;
  const Dialect& dialect_;
  FleetView& view_;
  HeldMemory& memory_;
  CallRunner& runner_;
  std::shared_ptr<asio::ip::tcp::acceptor> acceptor_;
  bool draining_ = false;
  std::set<SessionPtr> sessions_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_FRONT_H_
