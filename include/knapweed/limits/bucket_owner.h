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

/// What a workspace may send across all entries together.
struct RateLimit {
  double rate_per_s = 0;
  double burst = 0;
};

/// How a limit is kept although a grant is used a little after its tokens were
/// taken: what may be used late is held back from the burst, so that over every
/// span the calls stay within rate x span + burst where they start.
struct BucketPlan {
  double rate_per_s = 0;
  /// Most tokens that the bucket holds.
  double cap = 0;
  /// How long a grant can be used, counted from when it was asked for.
  Ms valid;
};

/// A burst that leaves no room to hold anything back keeps one token and fills
/// more slowly instead.
BucketPlan PlanBucket(const RateLimit& limit);

/// This process's right to a workspace's bucket. `since` is when no earlier
/// owner could act any more, `until` is when the lease ends, both on this
/// process's clock. `epoch` rises by one with each owner.
struct BucketLease {
  Ms since;
  Ms until;
  uint64_t epoch = 0;
};

/// One question for tokens. Its caller waits up to `max_wait` for the first
/// one; the tokens beyond the first only come when the bucket is nearly full.
struct BucketRequest {
  WorkspaceId workspace;
  uint32_t want = 1;
  Ms max_wait;
};

/// Tokens that are deducted already; unused they expire and do not come back.
/// They may be used from `start_after` after
/// the answer came until `start_after` + `valid` after the question was sent.
/// Without tokens `retry_after` says when to ask again.
struct BucketResponse {
  uint32_t granted = 0;
  Ms start_after;
  Ms valid;
  Ms retry_after;
};

/// A bucket on its way to the next owner, at a planned stop.
struct BucketHandover {
  WorkspaceId workspace;
  uint64_t epoch = 0;
  double tokens = 0;
  /// How long until every caller that was promised a token has started. The
  /// lease must not be given up before: the next owner knows nothing of them.
  Ms ready_in;
};

/// What the owner side needs to know. Each may be called on any thread, must
/// not block, and must not call the BucketOwner.
struct BucketOwnerSources {
  /// No value when this process does not own the workspace's bucket.
  std::function<std::optional<BucketLease>(const WorkspaceId&)> lease;
  /// No value when the workspace has no rule.
  std::function<std::optional<RateLimit>(const WorkspaceId&)> limit;
};

/// The buckets of the workspaces that this process owns. Safe from any thread;
/// never blocks.
class BucketOwner {
 public:
  explicit BucketOwner(BucketOwnerSources sources);

  /// Answers in the order of the questions: a caller that must wait is promised
  /// the next token, as long as it comes within its wait and within the lease.
  /// FailedPrecondition when this process does not own the bucket, NotFound
  /// when the workspace has no rule.
  absl::StatusOr<BucketResponse> Take(const BucketRequest& request, Ms now);
  /// The part of every rate and burst that failure domains out of contact may
  /// spend by themselves, from 0 to 1.
  void SetWithheld(double share, Ms now);

  /// Closes a bucket for the rest of this lease and gives its state to the next
  /// owner. No value when there is nothing to hand over.
  std::optional<BucketHandover> HandOver(const WorkspaceId& workspace, Ms now);
  /// Takes the state from the owner before; ignored unless its epoch is the one
  /// just before this process's. May come before the lease does.
  void Accept(const BucketHandover& handover, Ms now);

  /// One bucket, for a state dump.
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
