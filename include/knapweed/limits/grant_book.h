#ifndef KNAPWEED_LIMITS_GRANT_BOOK_H_
#define KNAPWEED_LIMITS_GRANT_BOOK_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "knapweed/base/clock.h"
#include "knapweed/base/ids.h"
#include "knapweed/limits/bucket_owner.h"

namespace knapweed {

/// When a call may start by an owner's answer: not before `start_at`, and not
/// after `expires_at`, when its token is void.
struct GrantedStart {
  Ms start_at;
  Ms expires_at;
};

/// The asker's side of the grants, without threads or messages: which tokens
/// are at hand, and how many to ask for. Not safe from several threads.
class GrantBook {
 public:
  /// Notes one arriving call and uses a token at hand for it, if there is one.
  bool UseHeldToken(const WorkspaceId& workspace, Ms now);
  /// How many tokens to ask the owner for; counts the question as under way
  /// until `OnResponse` or `OnRequestFailure`.
  uint32_t StartRequest(const WorkspaceId& workspace);
  /// Keeps the tokens beyond the first, which is the asking call's own.
  GrantedStart OnResponse(const WorkspaceId& workspace,
                          const BucketResponse& response, Ms requested_at,
                          Ms now);
  void OnRequestFailure(const WorkspaceId& workspace);
  /// Forgets what expired, and workspaces that fell quiet.
  void Prune(Ms now);
  size_t size() const { return accounts_.size(); }

 private:
  struct HeldGrant {
    uint32_t tokens = 0;
    Ms expires_at;
  };
  struct Account {
    std::vector<HeldGrant> held;
    /// Calls that came lately, each counting less as it ages.
    double recent_calls = 0;
    Ms last_call;
    Ms valid;
    uint32_t requests_in_flight = 0;
  };

  std::unordered_map<WorkspaceId, Account> accounts_;
};

}  // namespace knapweed

#endif  // KNAPWEED_LIMITS_GRANT_BOOK_H_
