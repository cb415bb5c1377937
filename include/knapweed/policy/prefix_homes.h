#ifndef KNAPWEED_POLICY_PREFIX_HOMES_H_
#define KNAPWEED_POLICY_PREFIX_HOMES_H_

#include <cstdint>
#include <map>

#include "knapweed/base/clock.h"

/// Chooses the engines that keep a prompt part which many programs share.
/// Answers a load whose running calls fill the memory of the engines: if each
/// engine keeps every shared part, the histories of programs are evicted
/// between their turns, and prompts are prefilled again and again.
namespace knapweed {

/// What an engine's memory has to hold.
struct EngineMemory {
  uint64_t total_tokens = 0;
  uint32_t slots = 1;
  /// Tokens that a mean call occupies beside the shared part of its prompt.
  double call_tokens = 0;
  /// Tokens of all shared parts in use.
  double shared_tokens = 0;
};

/// Returns whether the calls of all slots leave an engine too little memory to
/// keep histories and shared parts as well.
bool MemoryBinds(const EngineMemory& memory);

/// Returns the share of the engines that should keep each shared part, from
/// above 0 to 1. It is 1 unless the memory binds: with all slots taken, the
/// shared parts may occupy only a small part of what the calls leave.
double HomeShare(const EngineMemory& memory);

/// Returns whether an engine is a home of a shared part. All gateways get the
/// same homes from the same share, and those for a smaller share are among
/// those for a larger one.
bool IsHome(uint64_t engine_and_part_hash, double share);

/// The shared parts that one gateway has seen lately, and the mean size of
/// calls. Not thread-safe.
class PromptMix {
 public:
  /// Records a call whose prompt begins with the shared part `id`; `id` is 0 if
  /// it shares nothing.
  void Record(uint64_t id, uint32_t shared_tokens, double call_tokens, Ms now);
  /// Returns the memory use of an engine for this mix. Parts that were not used
  /// for a while are left out.
  EngineMemory MemoryOf(uint64_t total_tokens, uint32_t slots) const;

 private:
  struct Part {
    uint32_t tokens = 0;
    Ms used_at;
  };
  void RemoveUnused(Ms now);

  std::map<uint64_t, Part> parts_;
  double shared_tokens_ = 0;
  double call_tokens_ = 0;
  Ms checked_at_;
};

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_PREFIX_HOMES_H_
