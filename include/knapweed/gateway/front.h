#ifndef KNAPWEED_GATEWAY_FRONT_H_
#define KNAPWEED_GATEWAY_FRONT_H_

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "knapweed/gateway/call_runner.h"

/// HTTP servers of the gateway: one for callers, and a simpler one for the
/// platform and other gateways.
namespace knapweed::gateway {

/// Accepts callers' connections, reads requests within the limits and passes
/// them to the call runner. `Gateway` owns it.
class Front {
 public:
  Front(asio::io_context& loop, const Clock& clock, const Dialect& dialect,
        FleetView& view, CallRunner& runner)
      : loop_(loop),
        clock_(clock),
        dialect_(dialect),
        view_(view),
        runner_(runner) {}

  /// Starts to listen and serve; returns false if it can't listen on the
  /// address.
  bool Listen(const Address& address);
  /// From now on closes each connection after its next response, so that
  /// callers reconnect to another gateway.
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
  CallRunner& runner_;
  std::shared_ptr<asio::ip::tcp::acceptor> acceptor_;
  bool draining_ = false;
  std::set<SessionPtr> sessions_;
};

/// Handles a request from the platform or another gateway. A status of 0 closes
/// the connection without a response.
using InternalHandler =
    std::function<Task<HttpResponse>(const HttpRequest& call)>;

/// Serves `handler` on `address` until the loop stops; returns false if it
/// can't listen there.
bool ServeInternal(asio::io_context& loop, const Address& address,
                   InternalHandler handler);

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_FRONT_H_
