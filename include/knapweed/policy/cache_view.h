#ifndef KNAPWEED_POLICY_CACHE_VIEW_H_
#define KNAPWEED_POLICY_CACHE_VIEW_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "knapweed/base/clock.h"

namespace knapweed {

/// Tokens of a program's history that are believed to be cached at an upstream.
struct CachedPrefix {
  uint32_t upstream = 0;
  uint64_t tokens = 0;
  Ms as_of;
};

/// What an answer said of the prompt that it served.
struct CacheReport {
  uint64_t program_hash = 0;
  uint32_t upstream = 0;
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;
  uint64_t completion_tokens = 0;
};

/// A cache event of an engine: the program's prefix is now `tokens` long there,
/// zero when it was evicted. `happened_at` is in the receiver's clock.
struct CacheEvent {
  uint32_t upstream = 0;
  uint64_t sequence = 0;
  uint64_t program_hash = 0;
  uint64_t tokens = 0;
  Ms happened_at;
};

enum class EventResult : uint8_t { kApplied, kStale, kGap };

/// Constants of a cache view.
struct CacheViewOptions {
  size_t max_programs = 4096;
  size_t max_upstreams = 1024;
  /// Weight of the newest answer in an upstream's hit share.
  double newest_weight = 0.1;
};

/// What an entry believes is cached where, for the programs that it owns: a
/// hint, corrected by the cached tokens that each answer reports. Holds the two
/// newest places of each program and forgets the program unused for longest
/// when full. Memory is set aside at the start. Not safe from several threads.
class CacheView {
 public:
  explicit CacheView(const CacheViewOptions& options = {});

  /// An answer beats every belief about this program at this upstream.
  void Record(const CacheReport& report, Ms now);
  /// Events come late and with gaps. An older event than what is believed
  /// changes nothing; after a gap the upstream's entries count for half until
  /// `Resync`.
  EventResult Apply(const CacheEvent& event);
  /// The upstream's full list was read up to `sequence`: what is older and not
  /// listed is dropped.
  void Resync(uint32_t upstream, uint64_t sequence, Ms as_of,
              std::span<const CacheEvent> entries);
  /// Believed places of the program; empty when unknown. Valid until the next
  /// change.
  std::span<const CachedPrefix> Find(uint64_t program_hash) const;
  /// Tokens that a call can count on there: the belief times the share of such
  /// beliefs that proved true at that upstream.
  uint64_t ExpectedTokens(uint64_t program_hash, uint32_t upstream) const;
  void ForgetProgram(uint64_t program_hash);
  /// The upstream died or restarted: its cache is gone.
  void ForgetUpstream(uint32_t upstream);
  size_t size() const { return index_.size(); }

 private:
  static constexpr size_t kMaxLocations = 2;
  static constexpr uint32_t kNone = UINT32_MAX;

  struct Slot {
    uint64_t program_hash = 0;
    CachedPrefix locations[kMaxLocations];
    uint32_t count = 0;
    uint32_t newer = kNone;
    uint32_t older = kNone;
  };

  struct UpstreamState {
    uint64_t sequence = 0;
    bool gap = false;
    double hit_share = 1;
  };

  UpstreamState& StateOf(uint32_t upstream);
  uint32_t FindOrAddSlot(uint64_t program_hash);
  void Unlink(uint32_t item);
  void LinkNewest(uint32_t item);
  void SetLocation(Slot& slot, const CachedPrefix& location);
  static void RemoveLocation(Slot& slot, uint32_t upstream, Ms as_of);
  static const CachedPrefix* FindLocation(const Slot& slot, uint32_t upstream);

  CacheViewOptions options_;
  absl::flat_hash_map<uint64_t, uint32_t> index_;
  std::vector<Slot> slots_;
  std::vector<uint32_t> free_;
  std::vector<UpstreamState> upstreams_;
  uint32_t newest_ = kNone;
  uint32_t oldest_ = kNone;
};

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_CACHE_VIEW_H_
