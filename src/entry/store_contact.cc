#include "knapweed/entry/store_contact.h"

#include <algorithm>
#include <map>
#include <utility>

#include "knapweed/base/log.h"

namespace knapweed {
namespace {

constexpr Logger kLog("contact");
/// An entry whose last confirmation is older counts as cut off from the store.
constexpr Ms kMaxConfirmationAge = Ms{2500};
/// How long an outage is assumed to last after a round that found one.
constexpr Ms kOutageValidity = Seconds(3);
constexpr Ms kHeartbeatTimeout = Ms{800};

}  // namespace

StoreContactStatus EvaluateStoreContact(uint64_t version_in_force,
                                        std::span<const DomainAnswer> answers) {
  StoreContactStatus status;
  bool none_reaches_store = !answers.empty();
  for (const DomainAnswer& it : answers) {
    const bool newer = it.answered && it.config_version > version_in_force;
    const bool reaches_store =
        it.answered && it.confirmed_age <= kMaxConfirmationAge;
    if (newer) {
      status.newer_version = std::max(status.newer_version, it.config_version);
    }
    if (!it.answered || newer || reaches_store) none_reaches_store = false;
    if (!reaches_store || it.config_version != version_in_force) continue;
    if (!status.confirmed_by_peer || it.confirmed_age < status.age) {
      status.age = it.confirmed_age;
    }
    status.confirmed_by_peer = true;
  }
  status.confirmed_by_peer =
      status.confirmed_by_peer && status.newer_version == 0;
  status.outage = none_reaches_store;
  return status;
}

std::vector<Member> PickRepresentatives(std::span<const Member> members,
                                        const MemberId& self, uint64_t round) {
  std::map<FailureDomain, std::vector<const Member*>> domains;
  for (const Member& it : members) {
    if (it.id != self) domains[it.domain].push_back(&it);
  }
  std::vector<Member> picked;
  for (const auto& [domain, list] : domains) {
    const uint64_t offset = HashBytes(self.value);
    picked.push_back(*list[(offset + round) % list.size()]);
  }
  return picked;
}

StoreContact::StoreContact(StoreContactParts parts)
    : parts_(std::move(parts)) {}

DomainAnswer StoreContact::SendHeartbeat(const Member& member) const {
  DomainAnswer answer;
  wire::HeartbeatT heartbeat;
  heartbeat.member = parts_.self.value;
  const Ms sent_at = parts_.clock.Now();
  const absl::StatusOr<wire::BodyUnion> reply =
      parts_.rpc.Get(member.rpc)
          ->Call(Wrap(std::move(heartbeat)), kHeartbeatTimeout);
  const wire::HeartbeatT* body = reply.ok() ? reply->AsHeartbeat() : nullptr;
  if (body == nullptr) return answer;
  answer.answered = true;
  answer.config_version = body->config_version;
  // Adds the time since the request, since this process may have been paused
  // before it read the answer.
  answer.confirmed_age =
      Ms{body->confirmed_age_ms} + (parts_.clock.Now() - sent_at);
  return answer;
}

bool StoreContact::InOutage() const {
  return parts_.clock.Now() < Ms{outage_until_ms_.load()};
}

Ms StoreContact::OutageDuration() const {
  if (!InOutage()) return Ms{0};
  return parts_.clock.Now() - Ms{outage_since_ms_.load()};
}

void StoreContact::Step() {
  if (parts_.watcher.ConfirmedAge() <= kMaxConfirmationAge) return;
  const std::vector<Member> members = parts_.membership.Members();
  std::vector<DomainAnswer> answers;
  for (const Member& it : PickRepresentatives(members, parts_.self, round_++)) {
    answers.push_back(SendHeartbeat(it));
  }
  const uint64_t version = parts_.rules.version();
  const StoreContactStatus status = EvaluateStoreContact(version, answers);
  if (status.newer_version > 0) {
    parts_.watcher.ConfirmFromPeer(status.newer_version, Ms{0});
  }
  if (status.confirmed_by_peer)
    parts_.watcher.ConfirmFromPeer(version, status.age);
  if (status.outage) {
    parts_.watcher.ConfirmDuringOutage();
    if (!InOutage()) outage_since_ms_ = parts_.clock.Now().count;
    outage_until_ms_ = (parts_.clock.Now() + kOutageValidity).count;
  }
  kLog.Debug("Checked store contact through other failure domains.",
             {{"domains", answers.size()},
              {"relayed", status.confirmed_by_peer ? "yes" : "no"},
              {"outage", status.outage ? "yes" : "no"}});
}

}  // namespace knapweed
