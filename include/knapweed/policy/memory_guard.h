#ifndef KNAPWEED_POLICY_MEMORY_GUARD_H_
#define KNAPWEED_POLICY_MEMORY_GUARD_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "knapweed/base/clock.h"

/// Decides whether a gateway may take in more bytes. Answers callers and
/// upstreams that read slowly: what waits for them stays within a share of the
/// machine's memory, and new requests are refused in place of cutting answers
/// that are in progress.
namespace knapweed {

/// Size that is set for each buffer of a socket to a caller or an upstream. The
/// kernel doubles it for its own overhead. 32 KB carry 1 MB/s at a round trip
/// of 30 ms, far more than a stream of events needs.
inline constexpr size_t kSocketBufferBytes = 32 << 10;
/// Bytes that any call may hold beside its bodies: the buffers of three
/// sockets' directions that can be full at once (from and to the caller, from
/// the upstream; 64 KB each as the kernel counts them) and 64 KB in the process
/// for the pieces of the answer.
inline constexpr size_t kCallBufferBytes =
    6 * kSocketBufferBytes + (size_t{64} << 10);
/// Least `memory_mb` that works: half of it holds two calls with a body of
/// 4 MB, the usual limit, beside 30 without one.
inline constexpr int64_t kMinMemoryMb = 32;

/// Retry-After of a request that is refused for lack of memory: about the time
/// in which calls that are read end.
inline constexpr Ms kRetryMemory{500};

/// Bytes held for callers and upstreams over all calls.
struct HeldState {
  uint64_t held_bytes = 0;
  /// 0 if there is no bound.
  uint64_t limit_bytes = 0;
};

/// Returns how many bytes a gateway may hold for callers and upstreams on a
/// machine that gives it `memory_mb`; 0 (no bound) for 0.
uint64_t HeldBytesLimit(uint64_t memory_mb);

/// Returns how many bytes the copies of turns that are being stored or decoded
/// may take on a machine that gives it `memory_mb`, beside the held bytes; 0
/// (no bound) for 0.
uint64_t CopiesLimit(uint64_t memory_mb);

/// Returns whether `more_bytes` fit within the bound.
bool MayHold(const HeldState& state, uint64_t more_bytes);

/// Returns how many of `wanted_bytes` fit within the bound.
uint64_t RoomFor(const HeldState& state, uint64_t wanted_bytes);

/// Returns the bytes to set aside for a request before its body is read. A
/// chunked body declares no length and is counted as it arrives.
uint64_t BytesToSetAside(std::optional<uint64_t> declared_body_bytes);

/// Returns whether a new request may be taken in, its body included.
bool MayTakeRequest(const HeldState& state,
                    std::optional<uint64_t> declared_body_bytes);

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_MEMORY_GUARD_H_
