#ifndef KNAPWEED_ENTRY_UPSTREAM_DIRECTORY_H_
#define KNAPWEED_ENTRY_UPSTREAM_DIRECTORY_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "knapweed/base/clock.h"
#include "knapweed/base/ids.h"
#include "knapweed/membership/membership.h"
#include "knapweed/policy/cache_view.h"
#include "knapweed/policy/circuit_breaker.h"
#include "knapweed/policy/load_view.h"
#include "knapweed/policy/placement.h"
#include "knapweed/wire/wire_generated.h"

namespace knapweed {

/// This process's state of one upstream. The record never changes; `load` and
/// `breaker` are updated with every answer and are guarded by `mu`.
struct UpstreamState {
  UpstreamState(SidecarRecord r, uint32_t id)
      : record(std::move(r)), cache_id(id) {}

  const SidecarRecord record;
  /// Identifies the upstream in the cache view. Ids are assigned in sequence
  /// and reused only after the sequence wraps around.
  const uint32_t cache_id;
  /// Set while the sidecar shuts down; no new calls are placed on it.
  std::atomic<bool> leaving{false};
  /// Calls dispatched by this process and not answered yet.
  std::atomic<uint32_t> outstanding{0};
  std::mutex mu;
  LoadView load;
  CircuitBreaker breaker;
};

using UpstreamPtr = std::shared_ptr<UpstreamState>;

/// The properties of a call that its placement depends on.
struct PlacementQuery {
  std::string_view pool;
  /// Empty for a service route.
  std::string_view model;
  uint64_t program_hash = 0;
  /// Zero when the program has no parent.
  uint64_t parent_hash = 0;
  uint64_t prompt_tokens = 0;
  uint64_t expected_output_tokens = 0;
  /// Upstreams that already failed this call; they are not chosen.
  std::span<const UpstreamPtr> tried;
  /// Random number that the placement policy samples with.
  uint64_t random = 0;
};

/// The registered upstreams with their load, and an estimate of which upstreams
/// have each program's prompt cached. Owned by the Entry, used by TurnRunner.
/// Safe from any thread.
class UpstreamDirectory {
 public:
  UpstreamDirectory(const Clock& clock, FailureDomain domain);

  /// Replaces the set of registered sidecars. Those that were registered before
  /// keep their load and breaker state.
  void Update(std::span<const SidecarRecord> records);

  /// Returns the upstream that should run the call; null when none is usable.
  UpstreamPtr Place(const PlacementQuery& query);

  /// Adds a dispatched call to the upstream's estimated load until a load
  /// report includes it.
  void OnDispatch(UpstreamState& upstream, uint64_t prefill_tokens,
                  uint64_t decode_tokens) const;
  /// Ends a dispatch and merges the load report of its answer; `load` is null
  /// when there was no answer or no report.
  void OnAnswer(UpstreamState& upstream, const wire::LoadT* load) const;
  /// Records a failure of the upstream, which may open its circuit breaker.
  /// `random_unit` in [0, 1) sets the jitter.
  void OnFailure(UpstreamState& upstream, double random_unit) const;
  /// Handles a sidecar's notice that it accepts no new work.
  void OnLeaving(std::string_view upstream);

  /// Updates the estimate of cached prompts with the token counts of a result.
  void OnCacheReport(const UpstreamState& upstream, uint64_t program_hash,
                     const wire::ResultT& result);
  void ForgetProgram(uint64_t program_hash);
  /// Returns the upstreams that probably have the program's prompt cached.
  std::vector<UpstreamPtr> UpstreamsCaching(uint64_t program_hash) const;

  std::string DumpJson() const;

 private:
  using Snapshot = std::vector<UpstreamPtr>;

  UpstreamView ViewOf(UpstreamState& upstream, uint32_t index, Ms now) const;
  void FillCached(const PlacementQuery& query, const Snapshot& upstreams,
                  PlacementCall& call, std::span<UpstreamView> views) const;

  const Clock& clock_;
  const FailureDomain domain_;
  std::shared_ptr<const Snapshot> upstreams_;
  std::mutex update_mu_;
  uint32_t next_cache_id_ = 0;
  mutable std::mutex cache_mu_;
  CacheView cache_;
};

}  // namespace knapweed

#endif  // KNAPWEED_ENTRY_UPSTREAM_DIRECTORY_H_
