#include "knapweed/entry/rate_gate.h"

#include <algorithm>
#include <utility>

namespace knapweed {
namespace {

constexpr Ms kAskTimeout = Seconds(1);
constexpr Ms kOwnerlessRetryAfter = Ms{200};

}  // namespace

RateGate::RateGate(const Clock& clock, const RulesHolder& rules,
                   Membership& membership, RpcPool& rpc,
                   uint32_t partition_count)
    : clock_(clock),
      rules_(rules),
      membership_(membership),
      rpc_(rpc),
      partition_count_(partition_count) {}

BucketTake RateGate::TakeHere(const WorkspaceId& workspace) {
  const RulesHolder::ReadGuard rules = rules_.Read();
  const WorkspaceRule* rule = FindWorkspace(*rules, workspace);
  if (rule == nullptr) return {true, Ms{0}};
  const Ms now = clock_.Now();
  const std::lock_guard lock(mu_);
  const auto [it, added] = buckets_.try_emplace(workspace);
  if (added) it->second = MakeEmptyBucket(rule->rate_per_s, rule->burst, now);
  it->second.rate_per_s = rule->rate_per_s;
  it->second.burst = rule->burst;
  return TakeTokens(it->second, 1, now);
}

BucketTake RateGate::Take(const WorkspaceId& workspace) {
  const ProgramKey key{workspace, ProgramId("")};
  const std::optional<PartitionOwner> owner =
      membership_.OwnerOf(PartitionOf(key, partition_count_));
  if (!owner.has_value()) return {false, kOwnerlessRetryAfter};
  if (owner->self) return TakeHere(workspace);
  wire::BucketAskT ask;
  ask.workspace = workspace.value;
  ask.want = 1;
  absl::StatusOr<wire::BodyUnion> answer =
      rpc_.Get(owner->member.rpc)->Call(Wrap(std::move(ask)), kAskTimeout);
  const wire::BucketGrantT* grant =
      answer.ok() ? answer->AsBucketGrant() : nullptr;
  if (grant == nullptr) return {false, kOwnerlessRetryAfter};
  return {grant->granted >= 1, Ms{grant->retry_after_ms}};
}

std::optional<CallError> RateGate::Admit(const WorkspaceId& workspace,
                                         Ms wait) {
  const Ms give_up = clock_.Now() + wait;
  while (true) {
    const BucketTake take = Take(workspace);
    if (take.taken) return std::nullopt;
    const Ms pause = std::max(take.retry_after, Ms{5});
    if (clock_.Now() + pause > give_up) {
      return CallError{ErrorCode::kOverRate, RunState::kNotRun, pause,
                       "The workspace is over its rate."};
    }
    SleepFor(pause);
  }
}

wire::BucketGrantT RateGate::Answer(const wire::BucketAskT& ask) {
  const BucketTake take = TakeHere(WorkspaceId(ask.workspace));
  wire::BucketGrantT grant;
  grant.granted = take.taken ? 1 : 0;
  grant.retry_after_ms = take.retry_after.count;
  return grant;
}

}  // namespace knapweed
