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

/// The answer of one failure domain's entry to a heartbeat. `answered` is false
/// when there was none.
struct DomainAnswer {
  bool answered = false;
  uint64_t config_version = 0;
  /// Time since that entry last confirmed its configuration with the store.
  Ms confirmed_age;
};

/// Whether the store is reachable, as far as the answers of all failure domains
/// show it.
struct StoreContactStatus {
  /// A domain that reaches the store confirmed the configuration version in
  /// force; `age` is the time since the store did.
  bool confirmed_by_peer = false;
  Ms age;
  /// No domain reaches the store and none has a newer version, so that no
  /// configuration change can be in force anywhere.
  bool outage = false;
  /// Newest version reported that is above the one in force; zero if none.
  uint64_t newer_version = 0;
};

/// Evaluates one answer of each failure domain that has live members other than
/// this process. A domain that does not answer may still reach the store, so no
/// outage is concluded then.
StoreContactStatus EvaluateStoreContact(uint64_t version_in_force,
                                        std::span<const DomainAnswer> answers);

/// Returns one member of each failure domain, other than `self`. The choice
/// rotates with `round`, so that the next round skips a dead member.
std::vector<Member> PickRepresentatives(std::span<const Member> members,
                                        const MemberId& self, uint64_t round);

/// Dependencies of a StoreContact; references must outlive it.
struct StoreContactParts {
  const Clock& clock;
  const RulesHolder& rules;
  RulesWatcher& watcher;
  const Membership& membership;
  RpcPool& rpc;
  MemberId self;
};

/// Detects outages of the store and keeps the configuration confirmed while
/// this process can't reach the store, by sending a heartbeat to one entry of
/// each failure domain. Sends nothing while the store is reachable. Owned by
/// the Entry. `Step` must be called from one thread; the rest is safe from any.
class StoreContact {
 public:
  explicit StoreContact(StoreContactParts parts);

  /// Returns whether every failure domain recently reported the store as
  /// unreachable. No other entry can then take over a partition.
  bool InOutage() const;
  /// Returns how long the outage has lasted without a break; zero without one.
  Ms OutageDuration() const;
  /// Runs one round of heartbeats when the last confirmation is too old. Blocks
  /// until the entries answered or timed out. Run it periodically.
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
