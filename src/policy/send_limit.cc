#include "knapweed/policy/send_limit.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace knapweed {
namespace {

/// Lowest rate of requests to an upstream whose limit is about zero.
constexpr double kMinRatePerS = 0.2;
/// Burst of a schedule: a number of requests and seconds of its rate.
constexpr double kBurstRequests = 2;
constexpr double kBurstS = 0.25;
/// Tolerance for rounding errors in sums of fractions.
constexpr double kRoundingTolerance = 1e-9;
constexpr Ms kMinWait{10};
/// By how much the same limit must be newer to count; more than the time of a
/// message between gateways.
constexpr Ms kRetoldAfter{1000};
/// A home that has not answered for longer than this is taken for dead; longer
/// than a slow one takes to answer, and than the skip of a peer.
constexpr Ms kHomeDeadAfter{2000};
/// Fraction of the limit that a gateway grants before that.
constexpr double kSubstituteShare = 0.3;
/// Fractions of a cold upstream's bound that the home and the next two gateways
/// in its order grant. A request may be sent 0.15 s after its turn, so that 1.3
/// of the bound gives 1.495 of it in a second.
constexpr double kColdShares[] = {1, 0.2, 0.1};
/// The same fraction for a gateway that may not know the home: many of them may
/// start at once, and each adds to what the home grants.
constexpr double kUnsettledShare = 0.025;
/// Bursts of the home and of each other one: 4 of the 5 requests allowed.
constexpr double kColdHomeBurst = 2;
constexpr double kColdBurst = 1;
/// A gateway that has just started may replace an earlier process that others
/// still take for dead or stopping. Longer than the skip of a peer.
constexpr Ms kColdStartedLately{3000};
/// Wait that a gateway without a share states.
constexpr Ms kNoShareWait{100};
/// Requests for grants by all gateways, relative to the grants.
constexpr double kAsksPerGrant = 4;
constexpr double kMaxAskPauseS = 10;

/// Takes one request of a schedule that fills at `rate` up to `burst`.
SendGrant TakeFrom(SendSchedule& schedule, double rate, double burst,
                   Ms max_wait, Ms now) {
  if (now > schedule.filled_at) {
    const double earned = (now - schedule.filled_at).Seconds() * rate;
    schedule.tokens = std::min(schedule.tokens + earned, burst);
    schedule.filled_at = now;
  }
  const double missing = 1 - schedule.tokens - kRoundingTolerance;
  Ms wait;
  if (missing > 0) wait.count = std::llround(std::ceil(missing / rate * 1000));
  if (wait > max_wait) return {false, std::max(wait, kMinWait)};
  schedule.tokens -= 1;
  return {true, wait};
}

/// Takes over `news` unless it is older. Returns whether the limit changed.
bool MergeNewer(StatedLimit& known, const StatedLimit& news) {
  const bool is_newer = news.observed_at > known.observed_at;
  // Of two statements from the same time, the one with a limit counts.
  const bool decides_tie =
      news.observed_at == known.observed_at && news.per_s.has_value();
  if (!is_newer && !decides_tie) return false;
  const bool changed = news.per_s != known.per_s;
  known = news;
  return changed;
}

}  // namespace

bool MergeResponse(StatedLimit& known, const LimitInResponse& news) {
  const bool may_be_older = !news.per_s.has_value() &&
                            known.per_s.has_value() &&
                            news.sent_at <= known.observed_at;
  return !may_be_older && MergeNewer(known, {news.per_s, news.received_at});
}

bool MergeTold(StatedLimit& known, const StatedLimit& news) {
  const bool is_echo = news.per_s == known.per_s &&
                       news.observed_at - known.observed_at < kRetoldAfter;
  return !is_echo && MergeNewer(known, news);
}

double MaxSendBurst(double rate_per_s) {
  return kBurstRequests + kBurstS * rate_per_s;
}

Ms SendBy(Ms asked_at, const SendGrant& grant) {
  return asked_at + grant.wait + grant.ttl;
}

SendGrant GrantSend(SendSchedule& schedule, double rate_per_s, Ms max_wait,
                    Ms now) {
  const double rate = std::max(rate_per_s, kMinRatePerS);
  return TakeFrom(schedule, rate, MaxSendBurst(rate), max_wait, now);
}

double ColdShare(const ColdGrantor& grantor) {
  if (grantor.is_stopping || grantor.rank >= std::size(kColdShares)) return 0;
  const double share = kColdShares[grantor.rank];
  if (!grantor.is_settled) return std::min(share, kUnsettledShare);
  const bool started_lately = grantor.up_for < kColdStartedLately;
  return started_lately ? std::min(share, kColdShares[2]) : share;
}

SendGrant GrantColdSend(SendSchedule& schedule, double per_s, double share,
                        Ms max_wait, Ms now) {
  const double rate = per_s * share;
  if (rate <= 0) return {false, kNoShareWait, kColdGrantTtl};
  const double burst = share < 1 ? kColdBurst : kColdHomeBurst;
  SendGrant grant = TakeFrom(schedule, rate, burst, max_wait, now);
  grant.ttl = kColdGrantTtl;
  return grant;
}

SendGrant BothGrants(const SendGrant& a, const SendGrant& b) {
  return {a.granted && b.granted, std::max(a.wait, b.wait),
          std::min(a.ttl, b.ttl)};
}

Ms ColdAskPause(double per_s, size_t gateways) {
  const double rate = std::max(per_s, kMinRatePerS);
  const double pause_s = static_cast<double>(gateways) / (kAsksPerGrant * rate);
  return Ms{std::llround(std::min(pause_s, kMaxAskPauseS) * 1000)};
}

double GrantableShare(const HomeStatus& home) {
  const bool replaces_home =
      home.is_self || home.has_stopped || home.unreachable_for > kHomeDeadAfter;
  return replaces_home ? 1 : kSubstituteShare;
}

Ms MaxSendWait(const LimitedCall& call) {
  if (call.begins_program) return std::min(call.objective, call.time_left / 4);
  return call.time_left / 2;
}

}  // namespace knapweed
