#ifndef KNAPWEED_GATEWAY_PROGRAM_STARTS_H_
#define KNAPWEED_GATEWAY_PROGRAM_STARTS_H_

#include <functional>
#include <string>
#include <vector>

#include "knapweed/gateway/peers.h"
#include "knapweed/gateway/quotas.h"

/// Decides on calls that start a program. One gateway, the workspace's home,
/// decides for all: it knows of every start at once, while the counts that
/// gateways publish are too old when there are many of them.
namespace knapweed::gateway {

/// Path of requests for a start on a gateway's peer address.
inline constexpr std::string_view kStartPath = "/rate/start";

/// Asks the home of a workspace, and answers as one. Two gateways may both take
/// themselves for the home for a moment, after one was added or has failed:
/// then each knows the other's starts from the published counts only.
class ProgramStarts {
 public:
  /// Returns the workspace in the configuration in force; null if there is
  /// none.
  using FindByName = std::function<const Workspace*(std::string_view name)>;

  /// `self` is this gateway's peer address.
  ProgramStarts(const Clock& clock, PeerClients& clients, Quotas& quotas,
                const Address& self, FindByName find)
      : quotas_(quotas),
        clients_(clients),
        peers_(clock, self),
        find_(std::move(find)) {}

  /// Decides on a call that starts a program and counts it if it is admitted.
  /// Without an answer of the home this gateway decides by what it knows.
  Task<QuotaVerdict> Take(const Workspace& workspace, Ms waited);
  /// Handles another gateway's request for a start.
  HttpResponse AnswerPeer(const HttpRequest& call);
  /// Sets the peer addresses of the other serving gateways.
  void SetOthers(std::span<const Address> others) { peers_.SetOthers(others); }

 private:
  /// The home's answer; not `decided` if there was none.
  Task<QuotaVerdict> AskHome(Address home, std::string workspace, Ms waited);

  Quotas& quotas_;
  PeerClients& clients_;
  Peers peers_;
  FindByName find_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_PROGRAM_STARTS_H_
