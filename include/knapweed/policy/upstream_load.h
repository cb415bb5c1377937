#ifndef KNAPWEED_POLICY_UPSTREAM_LOAD_H_
#define KNAPWEED_POLICY_UPSTREAM_LOAD_H_

#include <cstdint>

/// The load of one upstream by the calls that a gateway has sent to it.
namespace knapweed {

/// Calls of one gateway at one upstream.
struct CallLoad {
  /// Calls in flight.
  uint32_t calls = 0;
  /// Prompt tokens of the calls whose response has not begun yet, without
  /// those that are expected to be cached.
  uint64_t pending_prefill_tokens = 0;
  /// Tokens that the calls occupy in the engine's memory: prompts and output.
  uint64_t resident_tokens = 0;

  friend bool operator==(const CallLoad&, const CallLoad&) = default;
};

inline CallLoad operator+(const CallLoad& a, const CallLoad& b) {
  return {a.calls + b.calls,
          a.pending_prefill_tokens + b.pending_prefill_tokens,
          a.resident_tokens + b.resident_tokens};
}

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_UPSTREAM_LOAD_H_
