#include "knapweed/entry/rate_gate.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace knapweed {
namespace {

/// How much longer than a lease an outage must have lasted before this process
/// spends its own share. Leases renewed just before the outage have then
/// expired.
constexpr Ms kOwnShareMargin = Seconds(2);
/// Values of BucketGrant.code: answered, and the two reasons for no answer.
constexpr uint8_t kAnswered = 0;
constexpr uint8_t kNotBucketOwner = 1;
constexpr uint8_t kNoSuchWorkspace = 2;

wire::BucketGrantT ToGrant(const absl::StatusOr<BucketResponse>& answer) {
  wire::BucketGrantT grant;
  if (!answer.ok()) {
    grant.code =
        absl::IsNotFound(answer.status()) ? kNoSuchWorkspace : kNotBucketOwner;
    return grant;
  }
  grant.granted = answer->granted;
  grant.start_after_ms = answer->start_after.count;
  grant.valid_ms = answer->valid.count;
  grant.retry_after_ms = answer->retry_after.count;
  return grant;
}

absl::StatusOr<BucketResponse> ToAnswer(const wire::BucketGrantT& grant) {
  if (grant.code == kNoSuchWorkspace) {
    return absl::NotFoundError("the workspace has no rule");
  }
  if (grant.code != kAnswered) {
    return absl::FailedPreconditionError("the entry does not own the bucket");
  }
  BucketResponse answer;
  answer.granted = static_cast<uint32_t>(grant.granted);
  answer.start_after = Ms{grant.start_after_ms};
  answer.valid = Ms{grant.valid_ms};
  answer.retry_after = Ms{grant.retry_after_ms};
  return answer;
}

}  // namespace

RateGate::RateGate(const RateGateParts& parts)
    : parts_(parts),
      share_watch_(parts.self, parts.lease),
      owner_({[this](const WorkspaceId& it) { return LeaseOf(it); },
              [this](const WorkspaceId& it) { return LimitOf(it); }}),
      limiter_({[this](const BucketRequest& question, Ms timeout) {
                  return AskOwner(question, timeout);
                },
                [this] { return OwnShare(); },
                [this](const WorkspaceId& it) { return LimitOf(it); },
                [this] { return parts_.clock.Now(); }, SleepFor}) {}

double RateGate::ShareOf(const FailureDomain& domain) const {
  const RulesHolder::ReadGuard rules = parts_.rules.Read();
  const DomainRule* rule = FindDomain(*rules, domain);
  return rule == nullptr ? 0 : rule->share;
}

double RateGate::OwnShare() const {
  if (parts_.membership.LeaseHolds()) return 0;
  const Ms after = parts_.lease + kOwnShareMargin;
  if (parts_.contact.OutageDuration() < after) return 0;
  int entries = 0;
  for (const Member& it : parts_.membership.Members()) {
    entries += it.domain == parts_.domain ? 1 : 0;
  }
  return entries == 0 ? 0 : ShareOf(parts_.domain) / entries;
}

void RateGate::Step() {
  const Ms now = parts_.clock.Now();
  double withheld = 0;
  for (const FailureDomain& it :
       share_watch_.OutOfContact(parts_.membership.RenewalCounts(), now)) {
    withheld += ShareOf(it);
  }
  owner_.SetWithheld(std::min(withheld, 1.0), now);
  limiter_.Prune();
}

PartitionId RateGate::BucketPartitionOf(const WorkspaceId& workspace) const {
  return PartitionOf({workspace, ProgramId("")}, parts_.partition_count);
}

void RateGate::OnGain(PartitionId partition) {
  const std::lock_guard lock(mu_);
  gained_at_[partition.n] = parts_.clock.Now();
}

std::optional<BucketLease> RateGate::LeaseOf(
    const WorkspaceId& workspace) const {
  const PartitionId home = BucketPartitionOf(workspace);
  const std::optional<PartitionOwner> owner = parts_.membership.OwnerOf(home);
  if (!owner.has_value() || !owner->self) return std::nullopt;
  BucketLease lease;
  lease.epoch = owner->epoch.n;
  lease.until = parts_.membership.LeaseUntil();
  const std::lock_guard lock(mu_);
  const auto it = gained_at_.find(home.n);
  if (it == gained_at_.end()) return std::nullopt;
  lease.since = it->second;
  return lease;
}

std::optional<RateLimit> RateGate::LimitOf(const WorkspaceId& workspace) const {
  const RulesHolder::ReadGuard rules = parts_.rules.Read();
  const WorkspaceRule* rule = FindWorkspace(*rules, workspace);
  if (rule == nullptr) return std::nullopt;
  return RateLimit{rule->rate_per_s, rule->burst};
}

absl::StatusOr<BucketResponse> RateGate::AskOwner(const BucketRequest& question,
                                                  Ms timeout) {
  const std::optional<PartitionOwner> owner =
      parts_.membership.OwnerOf(BucketPartitionOf(question.workspace));
  if (!owner.has_value()) {
    return absl::UnavailableError("the bucket has no owner");
  }
  if (owner->self) return owner_.Take(question, parts_.clock.Now());
  wire::BucketAskT ask;
  ask.workspace = question.workspace.value;
  ask.want = question.want;
  ask.wait_ms = question.max_wait.count;
  absl::StatusOr<wire::BodyUnion> reply =
      parts_.rpc.Get(owner->member.rpc)->Call(Wrap(std::move(ask)), timeout);
  if (!reply.ok()) return reply.status();
  const wire::BucketGrantT* grant = reply->AsBucketGrant();
  if (grant == nullptr) return absl::InternalError("unexpected bucket reply");
  return ToAnswer(*grant);
}

wire::BucketGrantT RateGate::Answer(const wire::BucketAskT& ask) {
  BucketRequest question;
  question.workspace = WorkspaceId(ask.workspace);
  question.want = static_cast<uint32_t>(std::max(ask.want, 1.0));
  question.max_wait = Ms{ask.wait_ms};
  return ToGrant(owner_.Take(question, parts_.clock.Now()));
}

std::string RateGate::DumpJson() const {
  nlohmann::json list = nlohmann::json::array();
  for (const BucketOwner::BucketState& it : owner_.Dump()) {
    list.push_back({{"workspace", it.workspace.value},
                    {"epoch", it.epoch},
                    {"tokens", it.tokens},
                    {"closed", it.closed}});
  }
  return list.dump();
}

}  // namespace knapweed
