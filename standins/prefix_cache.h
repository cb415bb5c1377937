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

inline constexpr size_t kTokensPerBlock = 16;

/// One hash for each whole block of a prompt; each hash covers all text before
/// it too, so that equal hashes mean equal prefixes.
std::vector<uint64_t> BlockChain(std::string_view prompt);

/// A block that came into the cache, or left it. Numbers rise by one.
struct CacheEvent {
  uint64_t n = 0;
  Ms at;
  bool stored = false;
  uint64_t block = 0;
};

/// Prompt prefixes in limited memory: the block that was used longest ago is
/// evicted first, the end of a prefix before its start, held blocks never. Not
/// safe from several threads.
class PrefixCache {
 public:
  explicit PrefixCache(size_t capacity) : capacity_(capacity) {}

  void SetCapacity(size_t capacity) { capacity_ = capacity; }
  /// Marks the cached start of a chain as used. Returns its length in blocks.
  size_t Touch(std::span<const uint64_t> chain);
  /// Stores a chain, as far as there is room beside held blocks.
  void Insert(std::span<const uint64_t> chain, Ms now);
  /// Keeps the cached start of a chain until `Release`, adding to what the hold
  /// keeps already. Returns the blocks that it keeps.
  size_t Hold(const std::string& hold, std::span<const uint64_t> chain);
  /// False when there is no such hold.
  bool Release(const std::string& hold);
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
  using EvictionKey = std::tuple<uint64_t, int64_t, uint64_t>;

  static EvictionKey MakeKey(uint64_t hash, const Block& block);
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
