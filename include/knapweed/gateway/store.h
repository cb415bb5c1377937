#ifndef KNAPWEED_GATEWAY_STORE_H_
#define KNAPWEED_GATEWAY_STORE_H_

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "knapweed/base/metrics.h"
#include "knapweed/gateway/dialect.h"

/// Client of the platform's store. Calls go directly to the store, or through
/// another gateway while the store is unreachable from this VM or rejects its
/// calls.
namespace knapweed::gateway {

/// Path prefix on a gateway's peer address of calls to forward to the store.
inline constexpr std::string_view kRelayPrefix = "/relay";

/// Sends calls to the store and tracks whether it is reachable.
class Store {
 public:
  Store(asio::io_context& loop, const Clock& clock, const Dialect& dialect,
        Address address, Metrics& metrics);

  /// Starts to probe the store in the background while direct calls fail.
  void Start();

  /// Applies a commit. Like `Read`, fails at once with `kNotDone` while the
  /// store is not reachable.
  Task<StoreAnswer> Apply(const Commit& commit);
  Task<StoreAnswer> Read(const RowRange& range);
  /// Returns the changes of a table, waiting for the first one for up to
  /// `feed.wait`. Tries peers even if the last call through them failed.
  Task<StoreAnswer> Follow(const FeedRequest& feed);
  /// Like `Read`, but tries peers even if the last call through them failed.
  Task<StoreAnswer> ReadTryingPeers(const RowRange& range);

  /// Reads all rows of a range in several calls, each like `ReadTryingPeers`.
  /// Sets `version` to that of the first answer; changes since then may be
  /// missing. Returns false if a call failed.
  Task<bool> ReadAll(RowRange range, std::vector<Row>* rows, uint64_t* version);

  /// Forwards a peer's call to the store, never to another peer.
  Task<HttpResponse> RunForPeer(const HttpRequest& call);

  /// Sets the peer addresses of the other gateways.
  void SetPeers(std::vector<Address> peers);

  /// Whether the store counts as reachable, directly or through a peer. It
  /// still does while only some of the direct calls fail.
  bool reachable() const { return direct_ok_ || relay_ok_; }
  bool direct_ok() const { return direct_ok_; }
  /// When the store became unreachable; meaningless while it is reachable.
  Ms lost_at() const { return lost_at_; }
  /// When the store last became reachable again after an outage.
  Ms regained_at() const { return regained_at_; }
  /// Returns the time on the store's clock, extrapolated from its last answer.
  Ms StoreNow() const;
  /// Sets the store's clock to a peer's estimate; no effect once the store has
  /// answered a call.
  void SeedClock(Ms store_now);

 private:
  Task<StoreAnswer> Run(const HttpRequest& call, Ms timeout,
                        bool always_try_peers);
  Task<void> ProbeDirect();
  Task<StoreAnswer> RunDirectWithRetry(const HttpRequest& call, Ms timeout);
  Task<StoreAnswer> RunDirect(const HttpRequest& call, Ms timeout);
  Task<StoreAnswer> RunThroughPeers(const HttpRequest& call, Ms timeout);
  void Count(std::string_view kind, std::string_view table);
  /// Records the end of a direct call; the store is lost only if all of them
  /// have failed for a while.
  void RecordDirect(bool ok, Ms sent_at);
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
  /// Start of the current run of busy answers; zero when the last answer was
  /// another one.
  Ms busy_since_;
  bool relay_ok_ = false;
  /// Start of the current run of direct calls that failed.
  std::optional<Ms> failing_since_;
  Ms lost_at_;
  Ms regained_at_;
  /// The store's clock minus the local one.
  Ms store_offset_;
  bool clock_known_ = false;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_STORE_H_
