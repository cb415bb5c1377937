#ifndef KNAPWEED_BENCHMARKS_RIG_FAKE_ENGINE_H_
#define KNAPWEED_BENCHMARKS_RIG_FAKE_ENGINE_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <span>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "benchmarks/rig/workload.h"

/// The fake model engine of the policy rig.
namespace knapweed::rig {

/// A segment of a prompt that is cached as a unit: the shared prefix of the
/// workspace, the history of the parent, or the program's own history. Segments
/// with the same key share their cache entry.
struct PrefixSegment {
  uint64_t key = 0;
  uint64_t tokens = 0;
};

/// A call that runs on an engine; `prefill_left` and `decode_left` are tokens.
struct EngineCall {
  uint64_t id = 0;
  std::vector<PrefixSegment> segments;
  double prefill_left = 0;
  double decode_left = 0;
  uint64_t cached_tokens = 0;
  /// KV cache tokens that the call occupies beyond those found in the cache.
  uint64_t kv_tokens = 0;
};

/// A fake model engine with continuous batching: it prefills one prompt at a
/// time while it decodes the others, and has a prefix cache with LRU eviction.
/// An `ideal` engine has unlimited room, finds every history cached and
/// prefills all prompts concurrently, each at the full rate.
class FakeEngine {
 public:
  FakeEngine(const Deployment& deployment, bool ideal)
      : deployment_(deployment), ideal_(ideal) {}

  /// Returns whether a call of this many KV cache tokens can start.
  bool HasRoom(uint64_t tokens) const {
    if (ideal_) return true;
    if (running_.size() >= deployment_.slots) return false;
    return running_.empty() ||
           running_tokens_ + tokens <= deployment_.cache_tokens;
  }

  /// Returns how many tokens at the start of a prompt are cached.
  uint64_t CachedTokens(std::span<const PrefixSegment> segments) const {
    uint64_t tokens = 0;
    for (const PrefixSegment& segment : segments) {
      const auto it = cache_.find(segment.key);
      if (it == cache_.end()) break;
      tokens += std::min(it->second.tokens, segment.tokens);
      if (it->second.tokens < segment.tokens) break;
    }
    return tokens;
  }

  /// Starts a call, which must have its id, segments and `decode_left` set.
  void Start(EngineCall call, uint64_t prompt_tokens, Ms now) {
    Advance(now);
    uint64_t cacheable = 0;
    for (const PrefixSegment& segment : call.segments)
      cacheable += segment.tokens;
    call.cached_tokens = ideal_ ? cacheable : CachedTokens(call.segments);
    call.prefill_left = static_cast<double>(prompt_tokens - call.cached_tokens);
    call.kv_tokens = prompt_tokens - call.cached_tokens +
                     static_cast<uint64_t>(call.decode_left);
    for (const PrefixSegment& segment : call.segments) Touch(segment.key, now);
    running_tokens_ += call.kv_tokens;
    running_.push_back(std::move(call));
    EvictToCapacity(now);
  }

  /// Advances all running calls to `now`.
  void Advance(Ms now) {
    const double elapsed_s = (now - advanced_to_).Seconds();
    advanced_to_ = now;
    if (elapsed_s <= 0) return;
    const auto prefilling = FirstPrefill();
    const bool during_prefill = prefilling != running_.end();
    const double decoded = elapsed_s * DecodeRate(during_prefill);
    for (EngineCall& call : running_) {
      if (call.prefill_left <= 0) call.decode_left -= decoded;
    }
    for (auto it = prefilling; it != running_.end(); ++it) {
      if (it->prefill_left <= 0) continue;
      it->prefill_left -= elapsed_s * PrefillRate();
      if (!ideal_) break;
    }
  }

  /// Returns when the next prefill or decode ends, at least 1 ms after the last
  /// Advance.
  Ms NextEvent() const {
    double next_s = 1e9;
    const auto prefilling = FirstPrefill();
    const double rate = DecodeRate(prefilling != running_.end());
    for (const EngineCall& call : running_) {
      if (call.prefill_left <= 0)
        next_s = std::min(next_s, call.decode_left / rate);
    }
    for (auto it = prefilling; it != running_.end(); ++it) {
      if (it->prefill_left <= 0) continue;
      next_s = std::min(next_s, it->prefill_left / PrefillRate());
      if (!ideal_) break;
    }
    return advanced_to_ +
           Ms{std::max<int64_t>(
               1, std::llround(std::ceil(std::max(next_s, 0.0) * 1000)))};
  }

  /// Removes and returns the calls that are complete.
  std::vector<EngineCall> TakeCompleted() {
    std::vector<EngineCall> done;
    for (size_t i = 0; i < running_.size();) {
      EngineCall& call = running_[i];
      if (call.prefill_left > 0 || call.decode_left > 1e-6) {
        ++i;
        continue;
      }
      running_tokens_ -= call.kv_tokens;
      done.push_back(std::move(call));
      running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    return done;
  }

  /// Adds the segments of a prompt to the cache.
  void Store(std::span<const PrefixSegment> segments, Ms now) {
    for (const PrefixSegment& segment : segments) {
      CacheEntry& entry = cache_[segment.key];
      if (segment.tokens > entry.tokens) {
        const uint64_t added = segment.tokens - entry.tokens;
        cached_tokens_ += added;
        if (entry.pinned_until > now) pinned_tokens_ += added;
        if (IsNearlyFull())
          stored_when_full_tokens_ += static_cast<double>(added);
        entry.tokens = segment.tokens;
      }
      Touch(segment.key, now);
    }
    EvictToCapacity(now);
  }

  /// Pins a cached segment until `until`: it is evicted only after all unpinned
  /// ones.
  void Pin(uint64_t key, Ms now, Ms until) {
    const auto it = cache_.find(key);
    if (it == cache_.end()) return;
    if (it->second.pinned_until <= now) pinned_tokens_ += it->second.tokens;
    it->second.pinned_until = until;
  }

  /// Removes a pin, and with `drop_cached` also the cached segment.
  void Unpin(uint64_t key, Ms now, bool drop_cached) {
    const auto it = cache_.find(key);
    if (it == cache_.end()) return;
    if (it->second.pinned_until > now) pinned_tokens_ -= it->second.tokens;
    it->second.pinned_until = Ms{0};
    if (!drop_cached) return;
    cached_tokens_ -= it->second.tokens;
    cache_.erase(it);
  }

  /// Returns the pinned tokens, counted anew because pins may have expired.
  uint64_t PinnedTokens(Ms now) {
    pinned_tokens_ = 0;
    for (const auto& [key, entry] : cache_) {
      if (entry.pinned_until > now) pinned_tokens_ += entry.tokens;
    }
    return pinned_tokens_;
  }

  /// Drops all running calls and the cache.
  void Crash() {
    running_.clear();
    cache_.clear();
    evicted_.clear();
    running_tokens_ = cached_tokens_ = pinned_tokens_ = 0;
  }

  /// Sets the speed relative to the normal one. Call Advance first.
  void SetSpeed(double speed) { speed_ = speed; }
  const std::vector<EngineCall>& running() const { return running_; }
  /// Returns whether over 90 % of the cache capacity is occupied.
  bool IsNearlyFull() const {
    return cached_tokens_ + running_tokens_ > deployment_.cache_tokens * 9 / 10;
  }
  double PrefillRate() const {
    return speed_ * deployment_.prefill_tokens_per_s;
  }
  /// Returns the decode rate of a sequence that runs alone, in tokens per
  /// second.
  double SingleDecodeRate() const {
    return speed_ * deployment_.decode_tokens_per_s;
  }
  /// Returns all cached segments.
  std::vector<PrefixSegment> CachedSegments() const {
    std::vector<PrefixSegment> list;
    for (const auto& [key, entry] : cache_) list.push_back({key, entry.tokens});
    return list;
  }
  /// Returns the keys evicted since the last call of this function.
  std::vector<uint64_t> TakeEvicted() { return std::exchange(evicted_, {}); }
  /// Returns the tokens stored while the cache was nearly full, since the last
  /// call of this function.
  double TakeTokensStoredWhenFull() {
    return std::exchange(stored_when_full_tokens_, 0.0);
  }

 private:
  struct CacheEntry {
    uint64_t tokens = 0;
    Ms used_at;
    Ms pinned_until;
  };

  std::vector<EngineCall>::iterator FirstPrefill() {
    return std::find_if(running_.begin(), running_.end(),
                        [](const EngineCall& c) { return c.prefill_left > 0; });
  }
  std::vector<EngineCall>::const_iterator FirstPrefill() const {
    return std::find_if(running_.begin(), running_.end(),
                        [](const EngineCall& c) { return c.prefill_left > 0; });
  }

  double DecodeRate(bool during_prefill) const {
    const double others =
        running_.empty() ? 0 : static_cast<double>(running_.size() - 1);
    const double rate =
        SingleDecodeRate() / (1 + deployment_.batch_slowdown * others);
    return during_prefill ? rate * deployment_.decode_share_during_prefill
                          : rate;
  }

  void Touch(uint64_t key, Ms now) {
    const auto it = cache_.find(key);
    if (it != cache_.end()) it->second.used_at = now;
  }

  void EvictToCapacity(Ms now) {
    while (cached_tokens_ + running_tokens_ > deployment_.cache_tokens &&
           !cache_.empty()) {
      auto victim = cache_.begin();
      for (auto it = cache_.begin(); it != cache_.end(); ++it) {
        if (EvictionRank(*it, now) < EvictionRank(*victim, now)) victim = it;
      }
      cached_tokens_ -= victim->second.tokens;
      evicted_.push_back(victim->first);
      cache_.erase(victim);
    }
  }

  /// Returns the eviction order, lowest first: unpinned before pinned, then
  /// least recently used.
  static std::tuple<bool, Ms, uint64_t> EvictionRank(
      const std::pair<const uint64_t, CacheEntry>& it, Ms now) {
    return {it.second.pinned_until > now, it.second.used_at, it.first};
  }

  Deployment deployment_;
  bool ideal_;
  double speed_ = 1;
  Ms advanced_to_;
  std::vector<EngineCall> running_;
  std::unordered_map<uint64_t, CacheEntry> cache_;
  uint64_t running_tokens_ = 0;
  uint64_t cached_tokens_ = 0;
  uint64_t pinned_tokens_ = 0;
  double stored_when_full_tokens_ = 0;
  std::vector<uint64_t> evicted_;
};

}  // namespace knapweed::rig

#endif  // KNAPWEED_BENCHMARKS_RIG_FAKE_ENGINE_H_
