#ifndef KNAPWEED_POLICY_CACHE_MOVE_H_
#define KNAPWEED_POLICY_CACHE_MOVE_H_

#include <cstdint>

#include "knapweed/base/clock.h"

namespace knapweed {

/// Estimates for running a call on another upstream than its home, the one that
/// holds the cached prefix.
struct CacheMoveCall {
  /// Tokens cached at home that the call can reuse.
  uint64_t cached_tokens = 0;
  Ms home_wait;
  Ms other_wait;
  double other_prefill_tokens_per_s = 1;
  /// KV cache size of one token, bandwidth of the link, and fixed time of one
  /// export and import.
  uint64_t bytes_per_token = 1;
  double link_bytes_per_s = 1;
  Ms transfer_setup;
  /// False when home is down or one of the two engines does not support cache
  /// transfer.
  bool can_transfer = true;
};

/// kStay: run the call at home. kRecompute: run it elsewhere and recompute the
/// prefix there. kTransfer: run it elsewhere and transfer the prefix.
enum class CacheMove : uint8_t { kStay, kRecompute, kTransfer };

/// Parameters of cache moves.
struct CacheMoveOptions {
  /// A move must save at least this time plus this share of the wait at home.
  Ms margin{50};
  double margin_share = 0.1;
};

/// The chosen way to serve a call.
struct CacheMoveDecision {
  CacheMove move = CacheMove::kStay;
  /// Expected time until the prefix is available on the chosen upstream.
  Ms ready_in;
};

/// Compares waiting at home, recomputing the prefix elsewhere and transferring
/// it there. The transfer overlaps with the wait in the other queue.
CacheMoveDecision DecideCacheMove(const CacheMoveCall& call,
                                  const CacheMoveOptions& options = {});

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_CACHE_MOVE_H_
