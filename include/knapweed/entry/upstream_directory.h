#ifndef KNAPWEED_ENTRY_UPSTREAM_DIRECTORY_H_
#define KNAPWEED_ENTRY_UPSTREAM_DIRECTORY_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "knapweed/base/clock.h"
#include "knapweed/base/ids.h"
#include "knapweed/membership/membership.h"
#include "knapweed/policy/placement.h"
#include "knapweed/wire/wire_generated.h"

namespace knapweed {

/// What this process knows of one upstream. The record never changes; the
/// figures are refreshed by every answer and read without a lock.
struct UpstreamState {
  explicit UpstreamState(SidecarRecord r) : record(std::move(r)) {}

  const SidecarRecord record;
  std::atomic<uint32_t> queued{0};
  std::atomic<uint32_t> running{0};
  std::atomic<uint32_t> slots{8};
  std::atomic<uint64_t> queued_tokens{0};
  std::atomic<double> prefill_tokens_per_s{4000};
  std::atomic<double> decode_tokens_per_s{50};
  std::atomic<int64_t> load_at_ms{0};
  /// Work that this process sent and whose end it has not seen.
  std::atomic<uint32_t> outstanding{0};
  std::atomic<uint64_t> outstanding_tokens{0};
  std::atomic<int64_t> down_until_ms{0};
  std::atomic<bool> leaving{false};
};

using UpstreamPtr = std::shared_ptr<UpstreamState>;

/// What a placement needs to know of a call.
struct PlacementQuery {
  std::string_view pool;
  /// Empty for a plain service.
  std::string_view model;
  ProgramKey program;
  ProgramId parent;
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
  UpstreamPtr Place(const PlacementQuery& query) const;

  void OnDispatch(UpstreamState& upstream, uint64_t tokens) const;
  /// Folds an answer's figures in.
  void OnAnswer(UpstreamState& upstream, uint64_t tokens,
                const wire::LoadT* load) const;
  /// Keeps new calls away for a while after a connection failed.
  void OnUnreachable(UpstreamState& upstream) const;
  /// A sidecar said itself that it takes no new work.
  void OnLeaving(std::string_view upstream);

  /// Remembers that a program's prompt of `tokens` is cached at an upstream.
  void RememberHome(const ProgramKey& program, const UpstreamId& upstream,
                    uint64_t tokens);
  void ForgetHome(const ProgramKey& program);

  std::string DumpJson() const;

 private:
  struct Home {
    UpstreamId upstream;
    uint64_t tokens = 0;
  };
  using Snapshot = std::vector<UpstreamPtr>;

  Home FindHome(const ProgramKey& program) const;
  UpstreamView ViewOf(const UpstreamState& upstream, uint32_t index,
                      Ms now) const;

  const Clock& clock_;
  FailureDomain domain_;
  std::shared_ptr<const Snapshot> upstreams_;
  mutable std::mutex homes_mu_;
  std::unordered_map<ProgramKey, Home> homes_;
};

}  // namespace knapweed

#endif  // KNAPWEED_ENTRY_UPSTREAM_DIRECTORY_H_
