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
  const Ms copy_time =
      call.transfer_setup + FromSeconds(bytes / call.link_bytes_per_s);
  const Ms transfer = std::max(call.other_wait, copy_time);
  const Ms margin = options.margin + FromSeconds(options.margin_share *
                                                 call.home_wait.Seconds());
  const bool use_transfer = call.can_transfer && transfer < recompute;
  const Ms other_ready_in = use_transfer ? transfer : recompute;
  if (other_ready_in + margin >= call.home_wait) {
    return {CacheMove::kStay, call.home_wait};
  }
  return {use_transfer ? CacheMove::kTransfer : CacheMove::kRecompute,
          other_ready_in};
}

}  // namespace knapweed
