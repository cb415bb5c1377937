#ifndef KNAPWEED_STANDINS_PREFIX_CACHE_H_
#define KNAPWEED_STANDINS_PREFIX_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "knapweed/base/clock.h"

namespace knapweed {

/// Number of prompt tokens in a block, the unit of caching.
inline constexpr size_t kTokensPerBlock = 16;

/// Returns one hash for each complete block of a prompt. Each hash also covers
/// all text before its block, so equal hashes mean equal prefixes.
std::vector<uint64_t> BlockChain(std::string_view prompt);

/// The storing or eviction of a block. Event numbers `n` are consecutive.
struct CacheEvent {
  uint64_t n = 0;
  Ms at;
  bool stored = false;
  uint64_t block = 0;
};

/// A cache of prompt prefixes with a limited number of blocks. Evicts the least
/// recently used block first, and the end of a prefix before its start; blocks
/// under a hold are never evicted. Not thread-safe; used by the engine stand-in
/// under its lock.
class PrefixCache {
 public:
  explicit PrefixCache(size_t capacity) : capacity_(capacity) {}

  /// Sets the limit in blocks. Takes effect at the next insertion.
  void SetCapacity(size_t capacity) { capacity_ = capacity; }
  /// Marks the cached prefix of a chain as used. Returns its length in blocks.
  size_t Touch(std::span<const uint64_t> chain);
  /// Stores a chain from its start; stops early when the cache is full and no
  /// further block can be evicted.
  void Insert(std::span<const uint64_t> chain, Ms now);
  /// Adds the cached prefix of a chain to the named hold, which protects its
  /// blocks from eviction until `Release`. Returns the hold's size in blocks.
  size_t Hold(const std::string& hold, std::span<const uint64_t> chain);
  /// Ends a hold. Returns false when there is none of that name.
  bool Release(const std::string& hold);
  /// Removes all blocks and holds; emits no events.
  void Clear();

  size_t size() const { return blocks_.size(); }
  const std::map<std::string, std::set<uint64_t>>& holds() const {
    return holds_;
  }
  const std::deque<CacheEvent>& events() const { return events_; }

 private:
  struct Block {
    uint64_t last_used_tick = 0;
    size_t depth = 0;
    uint32_t holds = 0;
  };
  // Last use, negated depth and hash: the smallest key is evicted first.
  using EvictionKey = std::tuple<uint64_t, int64_t, uint64_t>;

  static EvictionKey MakeKey(uint64_t hash, const Block& block);
  // Evicts blocks until one more fits. Returns false when none can be evicted.
  bool MakeRoom(Ms now);
  void AddEvent(bool stored, uint64_t block, Ms now);

  size_t capacity_;
  uint64_t tick_ = 0;
  std::unordered_map<uint64_t, Block> blocks_;
  std::set<EvictionKey> evictable_;
  std::map<std::string, std::set<uint64_t>> holds_;
  std::deque<CacheEvent> events_;
  uint64_t next_event_ = 1;
};

}  // namespace knapweed

#endif  // KNAPWEED_STANDINS_PREFIX_CACHE_H_
