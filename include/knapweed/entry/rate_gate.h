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

/// Dependencies of a RateGate; references must outlive it.
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

/// Enforces the workspaces' rate limits across all entries. The owner of a
/// workspace's partition holds its token bucket; other entries request tokens
/// from it by RPC. Connects the limits library to membership, rules and RPC.
/// Safe from any thread.
class RateGate {
 public:
  explicit RateGate(const RateGateParts& parts);

  /// Blocks up to `wait` until the workspace's rate limit admits one call.
  /// Returns the error when it was not admitted, otherwise no value.
  std::optional<CallError> Admit(const WorkspaceId& workspace, Ms wait) {
    return limiter_.Admit(workspace, wait);
  }
  /// Answers another entry's request for tokens; never blocks.
  wire::BucketGrantT Answer(const wire::BucketAskT& ask);
  /// Records that this process became the owner of a partition now. Must be
  /// called before the partition's buckets are used.
  void OnGain(PartitionId partition);
  /// Updates the share of the rates that is withheld for failure domains which
  /// may be cut off from the store, and removes state of idle workspaces. Run
  /// it periodically.
  void Step();
  /// Returns the buckets that this process owns, as JSON.
  std::string DumpJson() const;

 private:
  /// Returns the partition whose owner holds the workspace's bucket.
  PartitionId BucketPartitionOf(const WorkspaceId& workspace) const;
  /// Returns no value when this process does not own the workspace's bucket.
  std::optional<BucketLease> LeaseOf(const WorkspaceId& workspace) const;
  /// Returns no value when the workspace has no rule.
  std::optional<RateLimit> LimitOf(const WorkspaceId& workspace) const;
  /// Returns the share of every rate, from 0 to 1, that this process may spend
  /// without the bucket's owner. Zero unless a store outage outlasted all
  /// leases.
  double OwnShare() const;
  /// Returns the configured share of a failure domain; zero without a rule.
  double ShareOf(const FailureDomain& domain) const;
  /// Requests tokens from the bucket's owner, which may be this process.
  absl::StatusOr<BucketResponse> AskOwner(const BucketRequest& question,
                                          Ms timeout);

  const RateGateParts parts_;
  mutable std::mutex mu_;
  /// By partition: when this process became its owner.
  std::unordered_map<uint32_t, Ms> gained_at_;
  ShareWatch share_watch_;
  BucketOwner owner_;
  FleetLimiter limiter_;
};

}  // namespace knapweed

#endif  // KNAPWEED_ENTRY_RATE_GATE_H_
