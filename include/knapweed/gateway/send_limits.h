#ifndef KNAPWEED_GATEWAY_SEND_LIMITS_H_
#define KNAPWEED_GATEWAY_SEND_LIMITS_H_

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "knapweed/base/metrics.h"
#include "knapweed/gateway/grant_ledger.h"
#include "knapweed/gateway/peers.h"
#include "knapweed/gateway/upstreams.h"

/// Requests to upstreams that state a limit for all gateways together, and to
/// cold upstreams, whose services have a bound for all gateways together. One
/// gateway, the upstream's home, grants each of them: it knows of every request
/// at once, while a share for each of many gateways would be less than a
/// request. Where the home does not answer, the next gateway in its order
/// grants a part of the limit. Neither needs the store.
namespace knapweed::gateway {

/// Path of requests for grants on a gateway's peer address.
inline constexpr std::string_view kGrantPath = "/upstreams/grant";

/// Asks for grants and answers for those upstreams whose home this gateway is.
/// `Gateway` owns it. Not thread-safe.
class SendLimits {
 public:
  /// `self` is this gateway's peer address; `send` reaches the others.
  SendLimits(asio::io_context& loop, const Clock& clock, UpstreamSet& upstreams,
             Metrics& metrics, const Address& self, SendToPeer send);

  /// Asks whether a request may be sent to a limited upstream, now or within
  /// `max_wait`. A refusal keeps calls away from it for the time it states.
  Task<SendGrant> Ask(UpstreamPtr upstream, Ms max_wait);
  /// Takes over what a response says of its upstream's limit. Returns whether
  /// the limit changed; the home then hears of it.
  bool RecordResponse(const UpstreamPtr& upstream, const LimitInResponse& news);
  /// Handles a request from another gateway; 503 if this one grants no more.
  Task<HttpResponse> AnswerPeer(const HttpRequest& call);
  /// Sets the peer addresses of the other serving gateways, as read from the
  /// store at `read_at`.
  void SetOthers(std::span<const Address> others, Ms read_at);
  /// Tells that the others still list an earlier run of this gateway.
  void SetKnownBefore();
  /// Leaves the granting to others, because this gateway is stopping.
  void StopGranting();

  /// Returns what the other gateways should know of limits.
  std::vector<LimitRecord> Records() { return ledger_.Records(); }
  /// Takes over what another gateway has published.
  void MergeRecords(std::span<const LimitRecord> records);

 private:
  using MaybeAnswer = std::optional<GrantAnswer>;

  /// Gets an answer from the home, or from the gateway that acts for it.
  Task<GrantAnswer> AskAny(GrantRequest request);
  /// Sends a request to a peer and decodes its answer.
  Task<MaybeAnswer> Exchange(Address peer, GrantRequest request, Ms timeout);
  /// The same, and skips a peer that does not answer.
  Task<MaybeAnswer> AskPeer(Address peer, GrantRequest request, Ms timeout);
  /// Decides here, as the home or in its place.
  GrantAnswer DecideHere(const GrantRequest& request);
  HomeStatus StatusOfHome(std::string_view upstream) const;
  /// Returns whether this gateway knows those that started with it, and the
  /// others know it.
  bool IsSettled() const;
  /// Returns the gateway that should decide on a request.
  Home GrantorOf(const GrantRequest& request) const;
  ColdGrantor AsColdGrantor(std::string_view upstream) const;
  bool HasStopped(const Address& peer) const;
  /// Returns the request with the longer of the cold times that its sender and
  /// this gateway know.
  GrantRequest WithOwnColdTime(GrantRequest request) const;
  /// Takes an upstream for cold of which another gateway knows a newer
  /// incarnation that started lately.
  void CheckIncarnation(const LimitRecord& record);
  /// Tells the home what is known of the limit.
  Task<void> Report(GrantRequest request);
  /// Tells the gateway that would act for this one that this is the home; it
  /// may not know it yet.
  Task<void> Introduce(GrantRequest request);
  /// Finds out whether a peer that did not answer in time is slow or dead.
  Task<void> Probe(Address peer, GrantRequest request);
  static void TakeOverTold(Upstream& upstream, const StatedLimit& news);

  asio::io_context& loop_;
  const Clock& clock_;
  UpstreamSet& upstreams_;
  Metrics& metrics_;
  Address self_;
  SendToPeer send_;
  Peers peers_;
  Ms started_at_;
  /// When this gateway first knew all that started with it; unset before.
  std::optional<Ms> all_known_at_;
  GrantLedger ledger_;
  bool has_stopped_ = false;
  /// Peers that answered that they grant no more, and when.
  std::map<Address, Ms> stopped_at_;
  std::set<Address> probed_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_SEND_LIMITS_H_
