#ifndef KNAPWEED_GATEWAY_USE_EXCHANGE_H_
#define KNAPWEED_GATEWAY_USE_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "knapweed/gateway/peers.h"
#include "knapweed/gateway/quotas.h"

/// While the store is away, gateways can't read each other's announcements.
/// They then report their use of the workspaces' rates to one of them, the
/// collector, which answers with the use of all others for these workspaces. So
/// a message a gateway and interval suffices, whatever the size of the fleet.
namespace knapweed::gateway {

/// Path of reports on a gateway's peer address.
inline constexpr std::string_view kUsePath = "/rate/use";

/// The use of all gateways, as reported lately, and as last read from the
/// store. No I/O.
class UseLedger {
 public:
  /// Replaces what was read from the store; `stored` holds this gateway too.
  void SetStored(std::map<Address, UseByWorkspace> stored) {
    stored_ = std::move(stored);
  }
  /// Takes over what a gateway reports of itself at `now`.
  void Report(const Address& gateway, UseByWorkspace use, Ms now);
  /// Returns the sum over all gateways but one that have reported lately; the
  /// others are silent.
  UseOfOthers SumWithout(const Address& gateway, Ms now) const;

 private:
  struct Reported {
    UseByWorkspace use;
    Ms at;
  };

  std::map<Address, UseByWorkspace> stored_;
  std::map<Address, Reported> reported_;
};

/// Reports to the collector and answers as one. All gateways that know the same
/// peers choose the same collector; where they don't, the gateways of each
/// collector use their part of the rates.
class UseExchange {
 public:
  /// `self` is this gateway's peer address. Reports only while
  /// `store_reachable` returns false.
  UseExchange(asio::io_context& loop, const Clock& clock, Quotas& quotas,
              const Address& self, SendToPeer send,
              std::function<bool()> store_reachable);

  /// Reports periodically until the loop stops.
  Task<void> Run();
  /// Handles another gateway's report.
  HttpResponse AnswerPeer(const HttpRequest& call);
  /// Sets the other serving gateways, by peer address, and the use that they
  /// have published in the store.
  void SetStored(std::map<Address, UseByWorkspace> stored);

 private:
  Task<void> ExchangeOnce();
  /// Returns whether the collector has answered.
  Task<bool> ReportTo(Address collector);

  asio::io_context& loop_;
  const Clock& clock_;
  Quotas& quotas_;
  Address self_;
  SendToPeer send_;
  std::function<bool()> store_reachable_;
  Peers peers_;
  UseLedger ledger_;
  /// As last read from the store or told by the collector.
  UseOfOthers others_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_USE_EXCHANGE_H_
