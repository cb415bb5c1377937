#ifndef KNAPWEED_ENTRY_RATE_GATE_H_
#define KNAPWEED_ENTRY_RATE_GATE_H_

#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>

#include "absl/status/statusor.h"
#include "knapweed/base/clock.h"
#include "knapweed/base/ids.h"
#include "knapweed/base/outcome.h"
#include "knapweed/entry/share_watch.h"
#include "knapweed/entry/store_contact.h"
#include "knapweed/limits/bucket_owner.h"
#include "knapweed/limits/fleet_limiter.h"
#include "knapweed/membership/membership.h"
#include "knapweed/rules/rules_holder.h"
#include "knapweed/wire/rpc.h"

namespace knapweed {

/// What a rate gate works with; all outlive it.
struct RateGateParts {
  const Clock& clock;
  const RulesHolder& rules;
  const Membership& membership;
  const StoreContact& contact;
  RpcPool& rpc;
  MemberId self;
  FailureDomain domain;
  Ms lease;
  uint32_t partition_count;
};

/// Joins the limits library to the fleet: a workspace's bucket lives at the
/// owner of its partition, which the other entries ask over the wire. Safe from
/// any thread.
class RateGate {
 public:
  explicit RateGate(const RateGateParts& parts);

  /// Waits up to `wait` for the workspace's rate to admit one call. Returns
  /// why it did not.
  std::optional<CallError> Admit(const WorkspaceId& workspace, Ms wait) {
    return limiter_.Admit(workspace, wait);
  }
  /// Answers another entry's question; never blocks.
  wire::BucketGrantT Answer(const wire::BucketAskT& ask);
  /// This process gained a partition: buckets in it start now.
  void OnGain(PartitionId partition);
  /// Holds back what entries out of contact may spend, and forgets what fell
  /// quiet. Run it periodically.
  void Step();
  /// The buckets that live here, as JSON.
  std::string DumpJson() const;

 private:
  PartitionId BucketPartitionOf(const WorkspaceId& workspace) const;
  std::optional<BucketLease> LeaseOf(const WorkspaceId& workspace) const;
  std::optional<RateLimit> LimitOf(const WorkspaceId& workspace) const;
  /// The part of every rate that this process may spend by itself now.
  double OwnShare() const;
  double ShareOf(const FailureDomain& domain) const;
  absl::StatusOr<BucketResponse> AskOwner(const BucketRequest& question,
                                          Ms timeout);

  const RateGateParts parts_;
  mutable std::mutex mu_;
  std::unordered_map<uint32_t, Ms> gained_at_;
  ShareWatch share_watch_;
  BucketOwner owner_;
  FleetLimiter limiter_;
};

}  // namespace knapweed

#endif  // KNAPWEED_ENTRY_RATE_GATE_H_
