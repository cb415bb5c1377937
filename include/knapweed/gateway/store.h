#ifndef KNAPWEED_GATEWAY_STORE_H_
#define KNAPWEED_GATEWAY_STORE_H_

#include <memory>
#include <string_view>
#include <vector>

#include "knapweed/base/metrics.h"
#include "knapweed/gateway/dialect.h"

/// The platform's store as a gateway reaches it: straight, or through another
/// gateway while the store turns this VM away.
namespace knapweed::gateway {

/// Path on a gateway's peer address under which it passes store calls on.
inline constexpr std::string_view kRelayPrefix = "/relay";

class Store {
 public:
  Store(asio::io_context& loop, const Clock& clock, const Dialect& dialect,
        Address address, Metrics& metrics);

  /// Begins to look out for the store while it is away.
  void Start();

  Task<StoreAnswer> Apply(const Commit& commit);
  Task<StoreAnswer> Read(const RowRange& range);
  /// Waits at the store until the table changes, at most `feed.wait`. Tries
  /// peers also when the last calls by that way failed.
  Task<StoreAnswer> Follow(const FeedRequest& feed);
  /// Like `Read`, with the same persistence as `Follow`.
  Task<StoreAnswer> ReadTryingPeers(const RowRange& range);

  /// Passes a peer's call on to the store, never to another peer.
  Task<HttpResponse> RunForPeer(const HttpRequest& call);

  /// Where other gateways listen for store calls.
  void SetPeers(std::vector<Address> peers);

  /// Whether the last call got through, by either way.
  bool reachable() const { return direct_ok_ || relay_ok_; }
  bool direct_ok() const { return direct_ok_; }
  /// Since when no call has got through; meaningless while reachable.
  Ms lost_at() const { return lost_at_; }
  /// When the store was last regained after it was unreachable.
  Ms regained_at() const { return regained_at_; }
  /// The store's clock, extrapolated from its last answer.
  Ms StoreNow() const;
  /// Takes over a peer's notion of that clock while there is none here.
  void SeedClock(Ms store_now);

 private:
  Task<StoreAnswer> Run(const HttpRequest& call, Ms timeout,
                        bool always_try_peers);
  Task<void> ProbeDirect();
  Task<StoreAnswer> RunDirectWithRetry(const HttpRequest& call, Ms timeout);
  Task<StoreAnswer> RunDirect(const HttpRequest& call, Ms timeout);
  Task<StoreAnswer> RunThroughPeers(const HttpRequest& call, Ms timeout);
  void Count(std::string_view kind, std::string_view table);
  void RecordContact(bool direct, bool ok);
  void UpdateClock(const StoreAnswer& answer);

  asio::io_context& loop_;
  const Clock& clock_;
  const Dialect& dialect_;
  Metrics& metrics_;
  std::unique_ptr<HttpClient> direct_;
  std::vector<std::unique_ptr<HttpClient>> peers_;
  size_t next_peer_ = 0;
  bool direct_ok_ = true;
  /// Since when the store has only called itself busy; zero when it has not.
  Ms busy_since_;
  bool relay_ok_ = false;
  Ms lost_at_;
  Ms regained_at_;
  Ms store_offset_;
  bool clock_known_ = false;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_STORE_H_
