#ifndef KNAPWEED_GATEWAY_PEERS_H_
#define KNAPWEED_GATEWAY_PEERS_H_

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "knapweed/gateway/net.h"

/// Requests to the other gateways, and the choice of the one among them that
/// decides for all.
namespace knapweed::gateway {

/// The preferred gateway for a name. Gateways that know the same peers choose
/// the same home. This is an optimization, not ownership: any gateway may act
/// in its place.
struct Home {
  Address address;
  bool is_self = true;
};

/// Sends a request to another gateway's peer address and waits for its response
/// for the given time. The request must outlive the call.
using SendToPeer =
    std::function<Task<HttpResponse>(const Address&, const HttpRequest&, Ms)>;

/// HTTP clients of the other gateways, by peer address. Not thread-safe.
class PeerClients {
 public:
  PeerClients(asio::io_context& loop, const Clock& clock)
      : loop_(loop), clock_(clock) {}

  /// Returns the client of a peer, which lives as long as this object.
  HttpClient& At(const Address& address);
  /// Returns a function that sends by these clients, which must outlive it.
  SendToPeer Sender();

 private:
  asio::io_context& loop_;
  const Clock& clock_;
  std::map<Address, std::unique_ptr<HttpClient>> clients_;
};

/// Time for which a peer that does not answer is skipped, where its user states
/// no other.
inline constexpr Ms kPeerSkipTime{1500};

/// The other gateways as this one knows them, for one purpose. A peer that does
/// not answer is skipped for a while. Not thread-safe.
class Peers {
 public:
  /// `self` is this gateway's peer address; a peer that does not answer is
  /// skipped for `skip_time`.
  Peers(const Clock& clock, const Address& self, Ms skip_time = kPeerSkipTime)
      : clock_(clock), self_(NameOf(self)), skip_time_(skip_time) {}

  /// Replaces the peer addresses of the other serving gateways.
  void SetOthers(std::span<const Address> others);
  /// Chooses a name's home by rendezvous (highest random weight) hashing.
  Home HomeOf(std::string_view name) const;
  /// Returns the gateway that acts for the home of a name, as far as this one
  /// can tell: the home, or the next in its order that is not being skipped.
  Home ReachableHomeOf(std::string_view name) const;
  /// Returns the other gateway that acts for the home of a name if this one
  /// does not; this one if there is no other.
  Home SubstituteOf(std::string_view name) const;
  /// Returns how many of the other gateways that `counts` admits come before
  /// this one in the order of a name.
  size_t RankOf(std::string_view name,
                const std::function<bool(const Address&)>& counts) const;
  /// Returns the number of other gateways.
  size_t count() const { return others_.size(); }
  /// Returns the first `count` other gateways in the order of a name, fewer if
  /// there are not as many.
  std::vector<Address> First(std::string_view name, size_t count) const;
  /// The same, of those that are not being skipped.
  std::vector<Address> FirstReachable(std::string_view name,
                                      size_t count) const;
  /// Adds a gateway that has sent a request and is not known yet.
  void AddOther(const Address& address);
  /// From now on chooses this gateway only where there is no other.
  void ExcludeSelf() { excludes_self_ = true; }

  /// Returns whether the peer may be asked, i.e. is not being skipped.
  bool MayAsk(const Address& address) const;
  /// Skips a peer for a while because it did not answer.
  void Skip(const Address& address);
  /// Ends the time for which a peer counts as unreachable.
  void RecordAnswer(const Address& address);
  /// Returns the time since the first of the requests that a peer has left
  /// unanswered; zero if it answered the last one.
  Ms UnreachableFor(const Address& address) const;

 private:
  /// A gateway's address, and as text for hashing.
  struct Name {
    Address address;
    std::string text;
  };
  /// Chooses the first in the order of a name among the other gateways that may
  /// be chosen, and this one if `own_weight_counts`.
  template <typename Filter>
  Home Choose(std::string_view name, bool own_weight_counts,
              const Filter& may_choose) const;
  template <typename Filter>
  std::vector<Address> ChooseFirst(std::string_view name, size_t count,
                                   const Filter& may_choose) const;
  static Name NameOf(const Address& address) {
    return {address, address.ToString()};
  }

  const Clock& clock_;
  Name self_;
  Ms skip_time_;
  std::vector<Name> others_;
  std::map<Address, Ms> skipped_until_;
  std::map<Address, Ms> unreachable_since_;
  bool excludes_self_ = false;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_PEERS_H_
