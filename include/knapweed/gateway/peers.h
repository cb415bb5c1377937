#ifndef KNAPWEED_GATEWAY_PEERS_H_
#define KNAPWEED_GATEWAY_PEERS_H_

#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "knapweed/gateway/net.h"

/// Connections to the other gateways, and the choice of the one among them that
/// decides for all.
namespace knapweed::gateway {

/// The preferred gateway for a name. Gateways that know the same peers choose
/// the same home. This is an optimization, not ownership: any gateway may act
/// in its place.
struct Home {
  Address address;
  bool is_self = true;
};

/// The other gateways as this one knows them, with an HTTP client of each. A
/// peer that does not answer is skipped for a while. Not thread-safe.
class Peers {
 public:
  /// `self` is this gateway's peer address.
  Peers(asio::io_context& loop, const Clock& clock, const Address& self)
      : loop_(loop), clock_(clock), self_(NameOf(self)) {}

  /// Replaces the peer addresses of the other serving gateways.
  void SetOthers(std::span<const Address> others);
  /// Chooses a name's home by rendezvous (highest random weight) hashing.
  Home HomeOf(std::string_view name) const;

  /// Returns the client of a peer, which lives as long as this object.
  HttpClient& At(const Address& address);
  /// Returns whether the peer may be asked, i.e. is not being skipped.
  bool MayAsk(const Address& address) const;
  /// Skips a peer for a while because it did not answer.
  void Skip(const Address& address);

 private:
  /// A gateway's address, and as text for hashing.
  struct Name {
    Address address;
    std::string text;
  };
  static Name NameOf(const Address& address) {
    return {address, address.ToString()};
  }

  asio::io_context& loop_;
  const Clock& clock_;
  Name self_;
  std::vector<Name> others_;
  std::map<Address, std::unique_ptr<HttpClient>> clients_;
  std::map<Address, Ms> skipped_until_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_PEERS_H_
