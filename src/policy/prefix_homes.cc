#include "knapweed/policy/prefix_homes.h"

#include <algorithm>
#include <cmath>

namespace knapweed {
namespace {

/// The memory binds if the calls of all slots occupy at least this part of it.
/// Below that, every engine has room for all shared parts.
constexpr double kBindingPart = 0.25;
/// Part of the memory that calls leave free which shared parts may occupy. The
/// rest keeps the histories of programs that pause between their turns.
constexpr double kSharedPart = 0.125;
/// With fewer homes the calls of a popular part would overload them.
constexpr double kMinShare = 0.2;
/// From this share on, homes would free too little memory to be worth the
/// prefills at the other engines.
constexpr double kMaxShare = 0.75;
constexpr double kMeanCallWeight = 0.02;
constexpr Ms kUnusedAfter{20000};
constexpr Ms kCheckInterval{1000};

}  // namespace

bool MemoryBinds(const EngineMemory& memory) {
  if (memory.total_tokens == 0) return false;
  return memory.slots * memory.call_tokens >=
         kBindingPart * static_cast<double>(memory.total_tokens);
}

double HomeShare(const EngineMemory& memory) {
  if (memory.total_tokens == 0 || memory.shared_tokens <= 0) return 1;
  if (!MemoryBinds(memory)) return 1;
  const double left = static_cast<double>(memory.total_tokens) -
                      memory.slots * memory.call_tokens;
  const double room = kSharedPart * left;
  const double share = std::max(room / memory.shared_tokens, kMinShare);
  return share < kMaxShare ? share : 1;
}

bool IsHome(uint64_t engine_and_part_hash, double share) {
  const double unit =
      std::ldexp(static_cast<double>(engine_and_part_hash), -64);
  return unit < share;
}

void PromptMix::Record(uint64_t id, uint32_t shared_tokens, double call_tokens,
                       Ms now) {
  if (call_tokens > 0) {
    call_tokens_ =
        call_tokens_ == 0
            ? call_tokens
            : call_tokens_ + kMeanCallWeight * (call_tokens - call_tokens_);
  }
  if (id != 0) {
    Part& part = parts_[id];
    shared_tokens_ += static_cast<double>(shared_tokens) - part.tokens;
    part = {shared_tokens, now};
  }
  if (now - checked_at_ >= kCheckInterval) RemoveUnused(now);
}

void PromptMix::RemoveUnused(Ms now) {
  checked_at_ = now;
  for (auto it = parts_.begin(); it != parts_.end();) {
    if (now - it->second.used_at < kUnusedAfter) {
      ++it;
      continue;
    }
    shared_tokens_ -= it->second.tokens;
    it = parts_.erase(it);
  }
}

EngineMemory PromptMix::MemoryOf(uint64_t total_tokens, uint32_t slots) const {
  return {total_tokens, slots, call_tokens_, shared_tokens_};
}

}  // namespace knapweed
