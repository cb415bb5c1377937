#ifndef KNAPWEED_POLICY_CACHE_MOVE_H_
#define KNAPWEED_POLICY_CACHE_MOVE_H_

#include <cstdint>

#include "knapweed/base/clock.h"

namespace knapweed {

/// Costs of running a call away from the upstream that holds its cache.
struct CacheMoveCall {
  /// Tokens cached at home that the call needs.
  uint64_t cached_tokens = 0;
  Ms home_wait;
  Ms other_wait;
  double other_prefill_tokens_per_s = 1;
  /// Size of the KV cache of a token, rate of the link, and fixed time of an
  /// export and import.
  uint64_t bytes_per_token = 1;
  double link_bytes_per_s = 1;
  Ms transfer_setup;
  /// False when home is gone or either engine can't move caches.
  bool can_transfer = true;
};

enum class CacheMove : uint8_t { kStay, kRecompute, kTransfer };

/// Constants of cache moves.
struct CacheMoveOptions {
  /// Staying must be worse by this, and by this share of its wait.
  Ms margin{50};
  double margin_share = 0.1;
};

struct CacheMoveDecision {
  CacheMove move = CacheMove::kStay;
  /// Expected time until the prefix is ready at the place chosen.
  Ms ready_in;
};

/// Compares waiting at home, computing the prefix elsewhere, and moving it
/// there; the transfer runs while the call waits in the other queue.
CacheMoveDecision DecideCacheMove(const CacheMoveCall& call,
                                  const CacheMoveOptions& options = {});

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_CACHE_MOVE_H_
