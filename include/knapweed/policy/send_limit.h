#ifndef KNAPWEED_POLICY_SEND_LIMIT_H_
#define KNAPWEED_POLICY_SEND_LIMIT_H_

#include <cstddef>
#include <optional>

#include "knapweed/base/clock.h"

/// Limits that an upstream in need states in its responses: how many requests a
/// second it takes from all gateways together. One gateway, the upstream's
/// home, grants each request; these pure functions decide what a response says
/// of the limit, when a request may be sent, how much a gateway grants in place
/// of the home, and how long a call waits for its turn. Requests to cold
/// upstreams are granted in the same way, by the bound of their service.
namespace knapweed {

/// What a gateway knows of the limit of one incarnation of an upstream.
struct StatedLimit {
  /// Requests per second from all gateways together; unset if it states none.
  std::optional<double> per_s;
  /// When the upstream stated this, at the latest.
  Ms observed_at;
};

/// What a response says of the limit.
struct LimitInResponse {
  std::optional<double> per_s;
  /// When its request was sent.
  Ms sent_at;
  Ms received_at;
};

/// Takes over what a response says. Returns whether the limit changed. One that
/// states no limit may be older than another that does and arrived first, so it
/// ends only a limit that was known when its request was sent.
bool MergeResponse(StatedLimit& known, const LimitInResponse& news);

/// Takes over what another gateway tells, unless it is older than what is
/// known. Returns whether the limit changed. Each message makes it look newer
/// by its transit time, so that gateways which tell each other the same limit
/// would never see its end; the same limit counts only if it is newer by far
/// more than that.
bool MergeTold(StatedLimit& known, const StatedLimit& news);

/// Requests that one gateway has granted to one limited upstream. A token is a
/// request; below zero, later ones are promised already. Starts with one, so
/// that a gateway that begins to grant adds no burst.
struct SendSchedule {
  double tokens = 1;
  Ms filled_at;
};

/// Time from the turn of a granted request until which it may be sent.
inline constexpr Ms kGrantTtl{500};
/// The same at a cold upstream, whose bound holds in any one second.
inline constexpr Ms kColdGrantTtl{150};

/// Answer to a request to send.
struct SendGrant {
  bool granted = false;
  /// Time until the request may be sent if granted, otherwise until another
  /// attempt can succeed.
  Ms wait;
  /// Time after its turn until which the request may be sent.
  Ms ttl = kGrantTtl;
};

/// Returns the time by which a request must be sent for which a grant was asked
/// at `asked_at`. Later, for example after a pause of the VM, the request would
/// count for another span than the grant.
Ms SendBy(Ms asked_at, const SendGrant& grant);

/// Decides on one request at `rate_per_s`; promises one of the next if that is
/// due within `max_wait`. A limit of zero still admits a rare request, because
/// only a response tells that the limit has ended. Never grants more in a span
/// than the rate allows and `MaxSendBurst`.
SendGrant GrantSend(SendSchedule& schedule, double rate_per_s, Ms max_wait,
                    Ms now);

/// Returns the number of requests that may be sent at once after a lull.
double MaxSendBurst(double rate_per_s);

/// An upstream's home as another gateway sees it that is asked in its place.
struct HomeStatus {
  bool is_self = false;
  /// It answers that it grants no more, because it stops.
  bool has_stopped = false;
  /// Time for which it has not answered this gateway.
  Ms unreachable_for;
};

/// Returns the fraction of the limit that this gateway may grant. The home
/// grants all of it. It may be reachable for others, so a gateway in its place
/// grants only a part at first: what upstreams tolerate above their limit.
double GrantableShare(const HomeStatus& home);

/// A gateway that is asked for requests to a cold upstream.
struct ColdGrantor {
  /// Number of gateways that come before it in the upstream's order and may
  /// grant; 0 for the home.
  size_t rank = 0;
  /// Time since the start of its process.
  Ms up_for;
  /// It stops, and others grant in its place.
  bool is_stopping = false;
  /// It knows all gateways that have started, and they know it.
  bool is_settled = true;
};

/// Returns the fraction of a cold upstream's bound that the gateway may grant.
/// The upstream crashes above its bound, so a home that is silent is not
/// replaced in full while it may still grant: all shares together stay below
/// 1.3, also while a home restarts.
double ColdShare(const ColdGrantor& grantor);

/// Decides on one request to a cold upstream that tolerates `per_s` from all
/// gateways, of which this one may grant `share`. Together with `ColdShare` and
/// `kColdGrantTtl`, the requests sent in any second stay within 1.5 x `per_s`
/// + 5.
SendGrant GrantColdSend(SendSchedule& schedule, double per_s, double share,
                        Ms max_wait, Ms now);

/// Returns the grant of a request that needs both.
SendGrant BothGrants(const SendGrant& a, const SendGrant& b);

/// Returns the time for which a gateway whose request was refused does not ask
/// for the cold upstream again unless a call has no other. Without it each of
/// many gateways would ask for each call and get a request in minutes.
Ms ColdAskPause(double per_s, size_t gateways);

/// A call that finds the limits of all its upstreams used up.
struct LimitedCall {
  Ms time_left;
  /// Time to the first part of the answer that the caller hopes for.
  Ms objective;
  /// It starts a program.
  bool begins_program = false;
};

/// Returns how long the call should wait for its turn rather than be refused.
/// Answers an overload of limited upstreams: a program that has not started
/// loses least by a refusal, while a refused later turn wastes those before.
Ms MaxSendWait(const LimitedCall& call);

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_SEND_LIMIT_H_
