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

/// What this process knows of one upstream. The record never changes; the
/// figures are refreshed by every answer.
struct UpstreamState {
  UpstreamState(SidecarRecord r, uint32_t id)
      : record(std::move(r)), cache_id(id) {}

  const SidecarRecord record;
  /// Names the upstream in the cache view; never given to another one.
  const uint32_t cache_id;
  std::atomic<bool> leaving{false};
  std::atomic<uint32_t> outstanding{0};
  std::mutex mu;
  LoadView load;
  CircuitBreaker breaker;
};

using UpstreamPtr = std::shared_ptr<UpstreamState>;

/// What a placement needs to know of a call.
struct PlacementQuery {
  std::string_view pool;
  /// Empty for a plain service.
  std::string_view model;
  uint64_t program_hash = 0;
  /// Zero when the program has no parent.
  uint64_t parent_hash = 0;
  uint64_t prompt_tokens = 0;
  uint64_t expected_output_tokens = 0;
  /// Upstreams that failed this call already.
  std::span<const UpstreamPtr> tried;
  uint64_t random = 0;
};

/// The upstreams that this process can use, what it knows of their load, and
/// where each program's prompt is likely to be cached. Safe from any thread.
class UpstreamDirectory {
 public:
  UpstreamDirectory(const Clock& clock, FailureDomain domain);

  /// Takes over the registered sidecars; figures of those that stay are kept.
  void Update(std::span<const SidecarRecord> records);

  /// The upstream that should run the call; null when there is none.
  UpstreamPtr Place(const PlacementQuery& query);

  /// Counts a call that is sent, until an answer's figures show it.
  void OnDispatch(UpstreamState& upstream, uint64_t prefill_tokens,
                  uint64_t decode_tokens) const;
  /// Folds an answer's figures in; null when none came with it.
  void OnAnswer(UpstreamState& upstream, const wire::LoadT* load) const;
  /// Counts a failure of the upstream itself, which may open its breaker.
  void OnFailure(UpstreamState& upstream, double random_unit) const;
  /// A sidecar said itself that it takes no new work.
  void OnLeaving(std::string_view upstream);

  /// Corrects what is believed to be cached by what an answer reported.
  void OnCacheReport(const UpstreamState& upstream, uint64_t program_hash,
                     const wire::ResultT& result);
  void ForgetProgram(uint64_t program_hash);
  /// Upstreams where the program is believed to have a cached prompt.
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
