#ifndef KNAPWEED_ENTRY_RATE_GATE_H_
#define KNAPWEED_ENTRY_RATE_GATE_H_

#include <mutex>
#include <optional>
#include <unordered_map>

#include "knapweed/base/clock.h"
#include "knapweed/base/ids.h"
#include "knapweed/base/outcome.h"
#include "knapweed/limits/rate_bucket.h"
#include "knapweed/membership/membership.h"
#include "knapweed/rules/rules_holder.h"
#include "knapweed/wire/rpc.h"

namespace knapweed {

/// Holds each workspace to its rate and burst across all entries: its bucket
/// lives at one of them, which the others ask. Safe from any thread.
class RateGate {
 public:
  RateGate(const Clock& clock, const RulesHolder& rules, Membership& membership,
           RpcPool& rpc, uint32_t partition_count);

  /// Waits up to `wait` for the workspace's rate to admit one call. Returns
  /// why it did not: over_rate with the time until it would.
  std::optional<CallError> Admit(const WorkspaceId& workspace, Ms wait);
  /// Answers another entry's question.
  wire::BucketGrantT Answer(const wire::BucketAskT& ask);

 private:
  BucketTake TakeHere(const WorkspaceId& workspace);
  BucketTake Take(const WorkspaceId& workspace);

  const Clock& clock_;
  const RulesHolder& rules_;
  Membership& membership_;
  RpcPool& rpc_;
  uint32_t partition_count_;
  std::mutex mu_;
  std::unordered_map<WorkspaceId, RateBucket> buckets_;
};

}  // namespace knapweed

#endif  // KNAPWEED_ENTRY_RATE_GATE_H_
