#include "knapweed/policy/cache_move.h"

#include <algorithm>
#include <cmath>

namespace knapweed {
namespace {

Ms FromSeconds(double s) { return Ms{std::llround(s * 1000)}; }

}  // namespace

CacheMoveDecision DecideCacheMove(const CacheMoveCall& call,
                                  const CacheMoveOptions& options) {
  const auto tokens = static_cast<double>(call.cached_tokens);
  const Ms recompute =
      call.other_wait + FromSeconds(tokens / call.other_prefill_tokens_per_s);
  const double bytes = tokens * static_cast<double>(call.bytes_per_token);
  const Ms copied =
      call.transfer_setup + FromSeconds(bytes / call.link_bytes_per_s);
  const Ms transfer = std::max(call.other_wait, copied);
  const Ms margin = options.margin + FromSeconds(options.margin_share *
                                                 call.home_wait.Seconds());
  const bool moving = call.can_transfer && transfer < recompute;
  const Ms away = moving ? transfer : recompute;
  if (away + margin >= call.home_wait) {
    return {CacheMove::kStay, call.home_wait};
  }
  return {moving ? CacheMove::kTransfer : CacheMove::kRecompute, away};
}

}  // namespace knapweed
