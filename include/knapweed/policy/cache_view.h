#ifndef KNAPWEED_POLICY_CACHE_VIEW_H_
#define KNAPWEED_POLICY_CACHE_VIEW_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "knapweed/base/clock.h"

namespace knapweed {

/// The part of a program's history that is expected to be cached at an
/// upstream.
struct CachedPrefix {
  uint32_t upstream = 0;
  uint64_t tokens = 0;
  Ms as_of;
};

/// Token counts that a response reported for the prompt it served.
struct CacheReport {
  uint64_t program_hash = 0;
  uint32_t upstream = 0;
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;
  uint64_t completion_tokens = 0;
};

/// A cache event of an engine: the program's cached prefix there now has
/// `tokens` tokens, zero when it was evicted. `happened_at` is on the
/// receiver's clock.
struct CacheEvent {
  uint32_t upstream = 0;
  uint64_t sequence = 0;
  uint64_t program_hash = 0;
  uint64_t tokens = 0;
  Ms happened_at;
};

/// kStale: the event is a duplicate or out of order and was ignored. kGap: it
/// was applied, but events before it are missing.
enum class EventResult : uint8_t { kApplied, kStale, kGap };

/// Parameters of a cache view.
struct CacheViewOptions {
  size_t max_programs = 4096;
  size_t max_upstreams = 1024;
  /// Weight of the newest response in the moving average of an upstream's hit
  /// share.
  double newest_weight = 0.1;
};

/// An estimate of which upstreams cache the histories of the programs that one
/// entry owns. It is a hint, corrected by the cached tokens that each response
/// reports. Keeps the two newest locations of each program and evicts the least
/// recently used program when full. Memory is reserved in the constructor. Not
/// thread-safe.
class CacheView {
 public:
  explicit CacheView(const CacheViewOptions& options = {});

  /// Records a response. It overrides the stored prefix of this program at this
  /// upstream.
  void Record(const CacheReport& report, Ms now);
  /// Applies an event. Events can be delayed or lost: one that is older than
  /// the stored prefix does not change it, and after a gap the expected tokens
  /// of this upstream are halved until `Resync`.
  EventResult Apply(const CacheEvent& event);
  /// Replaces the state of an upstream by its full list, read up to `sequence`
  /// at `as_of`. Older prefixes that are not listed are removed.
  void Resync(uint32_t upstream, uint64_t sequence, Ms as_of,
              std::span<const CacheEvent> entries);
  /// Returns the known locations of the program; empty when there are none. The
  /// span is valid until the next change.
  std::span<const CachedPrefix> Find(uint64_t program_hash) const;
  /// Returns the cached tokens to expect for the program at the upstream: the
  /// stored prefix times the hit share measured at that upstream.
  uint64_t ExpectedTokens(uint64_t program_hash, uint32_t upstream) const;
  void ForgetProgram(uint64_t program_hash);
  /// Discards all prefixes of an upstream that crashed or restarted and thus
  /// lost its cache.
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
