#ifndef KNAPWEED_LIMITS_FLEET_LIMITER_H_
#define KNAPWEED_LIMITS_FLEET_LIMITER_H_

#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>

#include "absl/status/statusor.h"
#include "knapweed/base/clock.h"
#include "knapweed/base/ids.h"
#include "knapweed/base/outcome.h"
#include "knapweed/limits/bucket_owner.h"
#include "knapweed/limits/grant_book.h"

namespace knapweed {

/// What the asker side reaches; each may be called on any thread.
struct FleetLimiterSources {
  /// Asks the bucket's owner, wherever it is, within `timeout`. Blocks.
  /// NotFound when the workspace has no rule; any other error means that no
  /// owner could be asked.
  std::function<absl::StatusOr<BucketResponse>(const BucketRequest&,
                                               Ms timeout)>
      request_tokens;
  /// The part of every rate and burst that this process may spend by itself
  /// now, because its failure domain is out of contact: the domain's share over
  /// the number of its entries. Zero in contact. The shares of all processes
  /// together are at most one, and each is withheld by the bucket owners
  /// before it is more than zero here.
  std::function<double()> own_share;
  std::function<std::optional<RateLimit>(const WorkspaceId&)> limit;
  std::function<Ms()> now;
  std::function<void(Ms)> sleep;
};

/// Holds each workspace to its rate and burst across all entries. Safe from any
/// thread.
class FleetLimiter {
 public:
  explicit FleetLimiter(FleetLimiterSources sources);

  /// Admits one call, after waiting for its turn up to `max_wait`; the call is
  /// debited once, whatever retries happen inside it. Otherwise the reason,
  /// with the time to retry after: over_rate when the workspace's rate does not
  /// admit it in time, overloaded when no bucket owner could be asked,
  /// forbidden when the workspace has no rule. The call has not run.
  std::optional<CallError> Admit(const WorkspaceId& workspace, Ms max_wait);
  /// Forgets workspaces that fell quiet. Call it every few seconds.
  void Prune();

 private:
  // Each sets `again` when the outcome is open and there is time left to try
  // again; its result counts only otherwise.
  std::optional<CallError> AdmitByGrant(const WorkspaceId& workspace,
                                        Ms deadline, bool* retry);
  std::optional<CallError> AdmitByOwnShare(const WorkspaceId& workspace,
                                           double share, Ms deadline,
                                           bool* retry);
  std::optional<CallError> HandleRequestFailure(const absl::Status& status,
                                                Ms deadline, bool* retry);
  bool WaitForStart(const GrantedStart& start);

  const FleetLimiterSources sources_;
  std::mutex mu_;
  GrantBook book_;
  /// Buckets of this process's own share, while out of contact.
  std::unordered_map<WorkspaceId, RateBucket> own_buckets_;
};

}  // namespace knapweed

#endif  // KNAPWEED_LIMITS_FLEET_LIMITER_H_
