#ifndef KNAPWEED_ENTRY_STORE_CONTACT_H_
#define KNAPWEED_ENTRY_STORE_CONTACT_H_

#include <atomic>
#include <cstdint>
#include <span>
#include <vector>

#include "knapweed/base/clock.h"
#include "knapweed/base/ids.h"
#include "knapweed/membership/membership.h"
#include "knapweed/rules/rules_holder.h"
#include "knapweed/rules/rules_watcher.h"
#include "knapweed/wire/rpc.h"

namespace knapweed {

/// What one failure domain's entry answered, if anything.
struct DomainAnswer {
  bool answered = false;
  uint64_t config_version = 0;
  Ms confirmed_age;
};

/// What the answers of all failure domains allow to conclude.
struct StoreContactStatus {
  /// A domain that reaches the store confirms the version in force; `age` says
  /// how long ago the store did.
  bool confirmed_by_peer = false;
  Ms age;
  /// No domain reaches the store and none knows a newer version.
  bool outage = false;
  /// Some domain knows this newer version.
  uint64_t newer_version = 0;
};

/// Concludes from one answer for each failure domain with live members, the own
/// one among them when it has other members. A domain that does not answer may
/// reach the store, so it rules an outage out.
StoreContactStatus EvaluateStoreContact(uint64_t version_in_force,
                                        std::span<const DomainAnswer> answers);

/// One member of each failure domain, other than `self`; which one changes with
/// `round`, so that a dead representative is passed over in the next.
std::vector<Member> PickRepresentatives(std::span<const Member> members,
                                        const MemberId& self, uint64_t round);

/// What the contact works with; all outlive it.
struct StoreContactParts {
  const Clock& clock;
  const RulesHolder& rules;
  RulesWatcher& watcher;
  const Membership& membership;
  RpcPool& rpc;
  MemberId self;
};

/// Keeps the configuration confirmed while this process does not reach the
/// store: asks one entry of each failure domain. Sends nothing otherwise.
class StoreContact {
 public:
  explicit StoreContact(StoreContactParts parts);

  /// Whether every failure domain said lately that the store is out, so that no
  /// other entry can take anything over.
  bool InOutage() const;
  /// For how long that has been so without a break; zero when it is not.
  Ms OutageDuration() const;
  /// One round; blocks until the entries answered or timed out.
  void Step();

 private:
  DomainAnswer SendHeartbeat(const Member& member) const;

  const StoreContactParts parts_;
  uint64_t round_ = 0;
  std::atomic<int64_t> outage_until_ms_{0};
  std::atomic<int64_t> outage_since_ms_{0};
};

}  // namespace knapweed

#endif  // KNAPWEED_ENTRY_STORE_CONTACT_H_
