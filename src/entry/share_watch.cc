#include "knapweed/entry/share_watch.h"

#include <algorithm>

namespace knapweed {
namespace {

/// How long a member that is no longer listed may still be running out of
/// contact and spending its share.
constexpr Ms kRemovedMemberRetention = Seconds(20);

}  // namespace

std::set<FailureDomain> ShareWatch::OutOfContact(
    std::span<const MemberRenewals> beats, Ms now) {
  for (const MemberRenewals& it : beats) {
    if (it.member.id == self_) continue;
    const auto [entry, added] = members_.try_emplace(it.member.incarnation);
    RenewalState& state = entry->second;
    const bool renewed = !added && state.beat != it.renewal_count;
    if (added) state.domain = it.member.domain;
    // A member that appears after the first read has just written its row to
    // join.
    if (renewed || (added && initialized_)) {
      state.renewed = true;
      state.changed_at = now;
    }
    if (added && !initialized_) state.changed_at = now;
    state.beat = it.renewal_count;
  }
  initialized_ = initialized_ || !beats.empty();
  std::set<FailureDomain> domains;
  for (auto it = members_.begin(); it != members_.end();) {
    const Ms age = now - it->second.changed_at;
    const bool listed =
        std::any_of(beats.begin(), beats.end(), [&](const MemberRenewals& b) {
          return b.member.incarnation == it->first;
        });
    if (!listed && age > kRemovedMemberRetention) {
      it = members_.erase(it);
      continue;
    }
    if (!it->second.renewed || age > contact_timeout_) {
      domains.insert(it->second.domain);
    }
    ++it;
  }
  return domains;
}

}  // namespace knapweed
