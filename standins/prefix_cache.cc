#include "standins/prefix_cache.h"

#include "knapweed/base/ids.h"
#include "standins/engine_answer.h"

namespace knapweed {
namespace {

constexpr size_t kBytesPerBlock = kTokensPerBlock * kBytesPerToken;
constexpr size_t kMaxEvents = 10000;

}  // namespace

std::vector<uint64_t> BlockChain(std::string_view prompt) {
  std::vector<uint64_t> chain;
  chain.reserve(prompt.size() / kBytesPerBlock);
  uint64_t hash = 0;
  while (prompt.size() >= kBytesPerBlock) {
    hash = HashBytes(prompt.substr(0, kBytesPerBlock), hash);
    chain.push_back(hash);
    prompt.remove_prefix(kBytesPerBlock);
  }
  return chain;
}

PrefixCache::EvictionKey PrefixCache::MakeKey(uint64_t hash,
                                              const Block& block) {
  return {block.last_used_tick, -static_cast<int64_t>(block.depth), hash};
}

size_t PrefixCache::Touch(std::span<const uint64_t> chain) {
  ++tick_;
  size_t n = 0;
  for (const uint64_t hash : chain) {
    const auto it = blocks_.find(hash);
    if (it == blocks_.end()) break;
    Block& block = it->second;
    if (block.holds == 0) evictable_.erase(MakeKey(hash, block));
    block.last_used_tick = tick_;
    if (block.holds == 0) evictable_.insert(MakeKey(hash, block));
    ++n;
  }
  return n;
}

bool PrefixCache::MakeRoom(Ms now) {
  while (blocks_.size() >= capacity_) {
    // Blocks used in the current tick belong to the chain that is being stored.
    if (evictable_.empty() || std::get<0>(*evictable_.begin()) == tick_) {
      return false;
    }
    const uint64_t hash = std::get<2>(*evictable_.begin());
    evictable_.erase(evictable_.begin());
    blocks_.erase(hash);
    AddEvent(false, hash, now);
  }
  return true;
}

void PrefixCache::Insert(std::span<const uint64_t> chain, Ms now) {
  for (size_t n = Touch(chain); n < chain.size(); ++n) {
    if (!MakeRoom(now)) return;
    const Block block{tick_, n, 0};
    blocks_.emplace(chain[n], block);
    evictable_.insert(MakeKey(chain[n], block));
    AddEvent(true, chain[n], now);
  }
}

size_t PrefixCache::Hold(const std::string& hold,
                         std::span<const uint64_t> chain) {
  std::set<uint64_t>& held = holds_[hold];
  for (const uint64_t hash : chain) {
    const auto it = blocks_.find(hash);
    if (it == blocks_.end()) break;
    if (!held.insert(hash).second) continue;
    if (it->second.holds++ == 0) evictable_.erase(MakeKey(hash, it->second));
  }
  return held.size();
}

bool PrefixCache::Release(const std::string& hold) {
  const auto held = holds_.find(hold);
  if (held == holds_.end()) return false;
  for (const uint64_t hash : held->second) {
    const auto it = blocks_.find(hash);
    if (--it->second.holds == 0) evictable_.insert(MakeKey(hash, it->second));
  }
  holds_.erase(held);
  return true;
}

void PrefixCache::Clear() {
  blocks_.clear();
  evictable_.clear();
  holds_.clear();
}

void PrefixCache::AddEvent(bool stored, uint64_t block, Ms now) {
  events_.push_back({next_event_++, now, stored, block});
  if (events_.size() > kMaxEvents) events_.pop_front();
}

}  // namespace knapweed
