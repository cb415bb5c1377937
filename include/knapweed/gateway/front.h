#ifndef KNAPWEED_GATEWAY_FRONT_H_
#define KNAPWEED_GATEWAY_FRONT_H_

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "knapweed/gateway/call_runner.h"

/// Takes callers' connections, reads requests within the limits and hands them
/// to the call runner.
namespace knapweed::gateway {

class Front {
 public:
  Front(asio::io_context& loop, const Clock& clock, const Dialect& dialect,
        FleetView& view, CallRunner& runner)
      : loop_(loop),
        clock_(clock),
        dialect_(dialect),
        view_(view),
        runner_(runner) {}

  /// Listens and serves until the process ends; false when the address can't be
  /// taken.
  bool Listen(const Address& address);
  /// Asks callers to go elsewhere with each answer from now on.
  void BeginDraining() { draining_ = true; }
  /// Takes no further connections.
  void StopAccepting();
  /// Closes connections on which no request is under way or arriving.
  void CloseIdle();
  size_t connections() const { return sessions_.size(); }

 private:
  class Session;
  using SessionPtr = std::shared_ptr<Session>;

  Task<void> Accept();
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

/// Answers small requests of the platform and of other gateways. A status of 0
/// closes the connection without an answer.
using InternalHandler =
    std::function<Task<HttpResponse>(const HttpRequest& call)>;

/// Serves `handler` on an address of its own; false when it can't be taken.
bool ServeInternal(asio::io_context& loop, const Address& address,
                   InternalHandler handler);

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_FRONT_H_
