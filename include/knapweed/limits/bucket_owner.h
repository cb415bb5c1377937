#ifndef KNAPWEED_LIMITS_BUCKET_OWNER_H_
#define KNAPWEED_LIMITS_BUCKET_OWNER_H_

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "absl/status/statusor.h"
#include "knapweed/base/clock.h"
#include "knapweed/base/ids.h"
#include "knapweed/limits/rate_bucket.h"

namespace knapweed {

/// The calls that a workspace may start, over all entries together.
struct RateLimit {
  double rate_per_s = 0;
  double burst = 0;
};

/// How a bucket enforces a limit although a granted token may be used some time
/// after it was deducted. The calls that can start late are deducted from the
/// burst, so that over any time span at most rate x span + burst calls start.
struct BucketPlan {
  double rate_per_s = 0;
  /// Maximum number of tokens in the bucket.
  double cap = 0;
  /// How long a grant is valid, counted from its request.
  Ms valid;
};

/// Returns the plan for a limit. If the burst is too small to deduct from, the
/// bucket holds one token and fills more slowly instead.
BucketPlan PlanBucket(const RateLimit& limit);

/// The lease by which this process owns the bucket of a workspace. `since` is
/// when the lease of the previous owner ended for certain, `until` when this
/// lease ends, both on this process's clock. `epoch` increases by one with each
/// owner.
struct BucketLease {
  Ms since;
  Ms until;
  uint64_t epoch = 0;
};

/// A request for tokens. The caller can wait up to `max_wait` for the first
/// token; more than one is granted only while the bucket is nearly full.
struct BucketRequest {
  WorkspaceId workspace;
  uint32_t want = 1;
  Ms max_wait;
};

/// The response to a BucketRequest. Granted tokens are already deducted from
/// the bucket; unused ones expire and are not returned. They are valid from
/// `start_after` after the response arrived until `start_after` + `valid` after
/// the request was sent. When none is granted, `retry_after` says when to
/// request again.
struct BucketResponse {
  uint32_t granted = 0;
  Ms start_after;
  Ms valid;
  Ms retry_after;
};

/// The state of a bucket that is handed over to the next owner at a planned
/// shutdown.
struct BucketHandover {
  WorkspaceId workspace;
  uint64_t epoch = 0;
  double tokens = 0;
  /// Time until every caller with a granted token has started. The lease must
  /// be kept until then, because the next owner has no record of these grants.
  Ms ready_in;
};

/// The inputs of a BucketOwner. The functions may be called on any thread; they
/// must not block and must not call the BucketOwner.
struct BucketOwnerSources {
  /// Returns no value when this process does not own the bucket of the
  /// workspace.
  std::function<std::optional<BucketLease>(const WorkspaceId&)> lease;
  /// Returns no value when the workspace has no rate limit rule.
  std::function<std::optional<RateLimit>(const WorkspaceId&)> limit;
};

/// The buckets of the workspaces that this process owns. Thread-safe; never
/// blocks.
class BucketOwner {
 public:
  explicit BucketOwner(BucketOwnerSources sources);

  /// Grants tokens in the order of the requests. A caller that must wait is
  /// granted the next token if it becomes available within the caller's maximum
  /// wait and within the lease. Returns FailedPrecondition when this process
  /// does not own the bucket, NotFound when the workspace has no rule.
  absl::StatusOr<BucketResponse> Take(const BucketRequest& request, Ms now);
  /// Sets the share of every rate and burst, from 0 to 1, that is reserved for
  /// failure domains out of contact, which spend it on their own.
  void SetWithheld(double share, Ms now);

  /// Closes a bucket for the rest of this lease and returns its state for the
  /// next owner. Returns no value when this process does not own an open
  /// bucket.
  std::optional<BucketHandover> HandOver(const WorkspaceId& workspace, Ms now);
  /// Accepts the state from the previous owner, before or after this process
  /// gets the lease. Ignored unless the epoch of the handover directly precedes
  /// that of this process's lease.
  void Accept(const BucketHandover& handover, Ms now);

  /// The state of one bucket, for diagnostics.
  struct BucketState {
    WorkspaceId workspace;
    uint64_t epoch = 0;
    double tokens = 0;
    bool closed = false;
  };
  std::vector<BucketState> Dump() const;

 private:
  struct OwnedBucket {
    RateBucket bucket;
    BucketPlan plan;
    uint64_t epoch = 0;
    bool closed = false;
  };

  /// Returns the bucket of a workspace, created if needed and filled up to
  /// `now`, and sets `until` to the end of the lease. Requires `mu_`.
  absl::StatusOr<OwnedBucket*> Open(const WorkspaceId& workspace, Ms now,
                                    Ms* until);
  void Reset(const WorkspaceId& workspace, const BucketLease& lease,
             OwnedBucket& owned);
  void ApplyPlan(OwnedBucket& owned) const;

  const BucketOwnerSources sources_;
  mutable std::mutex mu_;
  std::unordered_map<WorkspaceId, OwnedBucket> buckets_;
  std::unordered_map<WorkspaceId, BucketHandover> handovers_;
  double withheld_share_ = 0;
};

}  // namespace knapweed

#endif  // KNAPWEED_LIMITS_BUCKET_OWNER_H_
