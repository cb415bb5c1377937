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

/// The functions that a FleetLimiter uses. Each may be called on any thread.
struct FleetLimiterSources {
  /// Requests tokens from the bucket's owner, local or remote, within
  /// `timeout`. Blocks. Returns NotFound when the workspace has no rule; any
  /// other error means that no owner was reachable.
  std::function<absl::StatusOr<BucketResponse>(const BucketRequest&,
                                               Ms timeout)>
      request_tokens;
  /// Returns the share of every rate and burst that this process may currently
  /// spend on its own, because its failure domain is out of contact: the share
  /// of the domain divided by the number of its entries. Zero while in contact.
  /// The shares of all processes add up to at most one, and the bucket owners
  /// withhold a share before it becomes greater than zero here.
  std::function<double()> own_share;
  /// Returns no value when the workspace has no rate limit rule.
  std::function<std::optional<RateLimit>(const WorkspaceId&)> limit;
  std::function<Ms()> now;
  std::function<void(Ms)> sleep;
};

/// Enforces the rate and burst of each workspace across all entries.
/// Thread-safe.
class FleetLimiter {
 public:
  explicit FleetLimiter(FleetLimiterSources sources);

  /// Admits one call, after waiting for up to `max_wait`. Blocks. The call is
  /// charged once, regardless of retries inside it. Returns no value when the
  /// call is admitted, otherwise the reason and a retry-after time: over_rate
  /// when the rate of the workspace does not admit the call in time, overloaded
  /// when no bucket owner was reachable, forbidden when the workspace has no
  /// rule. The error states that the call has not run.
  std::optional<CallError> Admit(const WorkspaceId& workspace, Ms max_wait);
  /// Removes the state of idle workspaces. Must be called every few seconds.
  void Prune();

 private:
  // Each of these sets `retry` when the outcome is undecided and time is left
  // for another try; the result is only valid otherwise.
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
  /// Buckets of this process's own share, used while out of contact.
  std::unordered_map<WorkspaceId, RateBucket> own_buckets_;
};

}  // namespace knapweed

#endif  // KNAPWEED_LIMITS_FLEET_LIMITER_H_
