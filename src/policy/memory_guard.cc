#include "knapweed/policy/memory_guard.h"

#include <algorithm>
#include <limits>

namespace knapweed {
namespace {

/// Share of the memory for held bytes, in percent. The other half is for the
/// program with its tables (some 10 MB), the cache of turns (8 MB), the copies
/// of turns, and what the allocator and the kernel need for the held bytes
/// themselves.
constexpr uint64_t kHeldSharePercent = 50;
/// Share of the memory for copies of turns, in percent.
constexpr uint64_t kCopiesSharePercent = 25;
constexpr uint64_t kBytesPerMb = 1 << 20;

}  // namespace

uint64_t HeldBytesLimit(uint64_t memory_mb) {
  return memory_mb * kBytesPerMb * kHeldSharePercent / 100;
}

uint64_t CopiesLimit(uint64_t memory_mb) {
  return memory_mb * kBytesPerMb * kCopiesSharePercent / 100;
}

uint64_t RoomFor(const HeldState& state, uint64_t wanted_bytes) {
  if (state.limit_bytes == 0) return wanted_bytes;
  if (state.held_bytes >= state.limit_bytes) return 0;
  return std::min(wanted_bytes, state.limit_bytes - state.held_bytes);
}

bool MayHold(const HeldState& state, uint64_t more_bytes) {
  return RoomFor(state, more_bytes) == more_bytes;
}

uint64_t BytesToSetAside(std::optional<uint64_t> declared_body_bytes) {
  const uint64_t body = declared_body_bytes.value_or(0);
  const uint64_t most = std::numeric_limits<uint64_t>::max() - kCallBufferBytes;
  return std::min(body, most) + kCallBufferBytes;
}

bool MayTakeRequest(const HeldState& state,
                    std::optional<uint64_t> declared_body_bytes) {
  return MayHold(state, BytesToSetAside(declared_body_bytes));
}

}  // namespace knapweed
