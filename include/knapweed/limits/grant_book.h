#ifndef KNAPWEED_LIMITS_GRANT_BOOK_H_
#define KNAPWEED_LIMITS_GRANT_BOOK_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "knapweed/base/clock.h"
#include "knapweed/base/ids.h"
#include "knapweed/limits/bucket_owner.h"

namespace knapweed {

/// The period in which a call may start under a grant. The token is void after
/// `expires_at`.
struct GrantedStart {
  Ms start_at;
  Ms expires_at;
};

/// The tokens that an entry holds, per workspace, and how many to request.
/// Contains no threads or messages. Not thread-safe.
class GrantBook {
 public:
  /// Records the arrival of a call and uses a held token for it. Returns false
  /// when there is none.
  bool UseHeldToken(const WorkspaceId& workspace, Ms now);
  /// Returns the number of tokens to request from the owner. The request counts
  /// as in flight until `OnResponse` or `OnRequestFailure`.
  uint32_t StartRequest(const WorkspaceId& workspace);
  /// Stores the granted tokens beyond the first, which belongs to the
  /// requesting call, and returns when that call may start.
  GrantedStart OnResponse(const WorkspaceId& workspace,
                          const BucketResponse& response, Ms requested_at,
                          Ms now);
  /// Ends a request that got no response.
  void OnRequestFailure(const WorkspaceId& workspace);
  /// Removes expired tokens and idle workspaces.
  void Prune(Ms now);
  size_t size() const { return accounts_.size(); }

 private:
  struct HeldGrant {
    uint32_t tokens = 0;
    Ms expires_at;
  };
  struct Account {
    std::vector<HeldGrant> held;
    /// Recent calls, with exponentially decaying weight.
    double recent_calls = 0;
    Ms last_call;
    /// Validity of the last grant.
    Ms valid;
    uint32_t requests_in_flight = 0;
  };

  std::unordered_map<WorkspaceId, Account> accounts_;
};

}  // namespace knapweed

#endif  // KNAPWEED_LIMITS_GRANT_BOOK_H_
