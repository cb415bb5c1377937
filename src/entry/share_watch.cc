#include "knapweed/entry/share_watch.h"

#include <algorithm>

namespace knapweed {
namespace {

/// How long a member that vanished may still act as if it were out of contact.
constexpr Ms kForgetAfter = Seconds(20);

}  // namespace

std::set<FailureDomain> ShareWatch::OutOfContact(
    std::span<const MemberBeat> beats, Ms now) {
  for (const MemberBeat& it : beats) {
    if (it.member.id == self_) continue;
    const auto [at, added] = seen_.try_emplace(it.member.incarnation);
    Sighting& sighting = at->second;
    const bool renewed = !added && sighting.beat != it.beat;
    if (added) sighting.domain = it.member.domain;
    // A member that came later has just been to the store to join.
    if (renewed || (added && looked_)) {
      sighting.renewed = true;
      sighting.changed_at = now;
    }
    if (added && !looked_) sighting.changed_at = now;
    sighting.beat = it.beat;
  }
  looked_ = looked_ || !beats.empty();
  std::set<FailureDomain> domains;
  for (auto it = seen_.begin(); it != seen_.end();) {
    const Ms age = now - it->second.changed_at;
    const bool listed = std::any_of(
        beats.begin(), beats.end(),
        [&](const MemberBeat& b) { return b.member.incarnation == it->first; });
    if (!listed && age > kForgetAfter) {
      it = seen_.erase(it);
      continue;
    }
    if (!it->second.renewed || age > in_contact_) {
      domains.insert(it->second.domain);
    }
    ++it;
  }
  return domains;
}

}  // namespace knapweed
