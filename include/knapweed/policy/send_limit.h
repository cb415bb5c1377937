#ifndef KNAPWEED_POLICY_SEND_LIMIT_H_
#define KNAPWEED_POLICY_SEND_LIMIT_H_

#include <optional>

#include "knapweed/base/clock.h"

/// Limits that an upstream in need states in its responses: how many requests a
/// second it takes from all gateways together. Pure functions over plain
/// structs.
namespace knapweed {

/// What a gateway knows of the limit of one incarnation of an upstream.
struct StatedLimit {
  /// Requests per second from all gateways together; unset if it states none.
  std::optional<double> per_s;
  /// When the upstream stated this, at the latest.
  Ms observed_at;
};

/// Returns what a response says. One that states no limit may be older than
/// another that does and arrived first, so it counts as of the time at which
/// its request was sent.
StatedLimit LimitInResponse(std::optional<double> stated_per_s, Ms sent_at,
                            Ms received_at);

/// Takes over `news` unless it is older than what is known. Returns whether the
/// limit changed.
bool MergeLimit(StatedLimit& known, const StatedLimit& news);

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_SEND_LIMIT_H_
