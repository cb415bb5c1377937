#include "knapweed/limits/fleet_limiter.h"

#include <algorithm>
#include <utility>

namespace knapweed {
namespace {

/// Pause before asking for the owner again after it could not be reached.
constexpr Ms kOwnerPause = Ms{50};
/// An owner answers at once; one that does not is asked again, and by then may
/// be another.
constexpr Ms kAskTimeout = Ms{500};
/// When to come back after no owner was reachable.
constexpr Ms kOwnerRetryAfter = Seconds(1);

CallError Refuse(ErrorCode code, Ms retry_after, std::string message) {
  return CallError{code, RunState::kNotRun, retry_after, std::move(message)};
}

CallError OverRate(Ms retry_after) {
  return Refuse(ErrorCode::kOverRate, retry_after,
                "The workspace is over its rate.");
}

CallError NoRule() {
  return Refuse(ErrorCode::kForbidden, Ms{0},
                "The workspace has no rate in the rules.");
}

}  // namespace

FleetLimiter::FleetLimiter(FleetLimiterSources sources)
    : sources_(std::move(sources)) {}

std::optional<CallError> FleetLimiter::Admit(const WorkspaceId& workspace,
                                             Ms max_wait) {
  const Ms give_up = sources_.now() + max_wait;
  while (true) {
    const double share = sources_.own_share();
    bool again = false;
    std::optional<CallError> error =
        share > 0 ? SpendOwnShare(workspace, share, give_up, &again)
                  : SpendGrant(workspace, give_up, &again);
    if (!again) return error;
  }
}

std::optional<CallError> FleetLimiter::SpendGrant(const WorkspaceId& workspace,
                                                  Ms give_up, bool* again) {
  const Ms asked_at = sources_.now();
  BucketQuestion question{workspace, 1, std::max(Ms{0}, give_up - asked_at)};
  {
    const std::scoped_lock lock(mu_);
    own_.clear();
    if (book_.TakeAtHand(workspace, asked_at)) return std::nullopt;
    question.want = book_.StartQuestion(workspace);
  }
  const Ms timeout = std::clamp(question.max_wait, kOwnerPause, kAskTimeout);
  const absl::StatusOr<BucketAnswer> answer = sources_.ask(question, timeout);
  const Ms now = sources_.now();
  if (!answer.ok()) {
    {
      const std::scoped_lock lock(mu_);
      book_.OnNoAnswer(workspace);
    }
    return NoAnswer(answer.status(), give_up, again);
  }
  GrantedStart start;
  {
    const std::scoped_lock lock(mu_);
    start = book_.OnAnswer(workspace, *answer, asked_at, now);
  }
  if (answer->granted == 0) return OverRate(answer->retry_after);
  if (WaitForStart(start)) return std::nullopt;
  if (sources_.now() >= give_up) return OverRate(answer->valid);
  *again = true;
  return std::nullopt;
}

std::optional<CallError> FleetLimiter::NoAnswer(const absl::Status& status,
                                                Ms give_up, bool* again) {
  if (absl::IsNotFound(status)) return NoRule();
  if (sources_.now() + kOwnerPause > give_up) {
    return Refuse(ErrorCode::kOverloaded, kOwnerRetryAfter,
                  "The workspace's rate can't be checked at the moment.");
  }
  sources_.sleep(kOwnerPause);
  *again = true;
  return std::nullopt;
}

/// False when the token is void, as after an answer that came too late or a
/// pause of this process.
bool FleetLimiter::WaitForStart(const GrantedStart& start) {
  const Ms now = sources_.now();
  if (start.start_at > now) sources_.sleep(start.start_at - now);
  return sources_.now() <= start.expires_at;
}

std::optional<CallError> FleetLimiter::SpendOwnShare(
    const WorkspaceId& workspace, double share, Ms give_up, bool* again) {
  const std::optional<RateLimit> limit = sources_.limit(workspace);
  if (!limit) return NoRule();
  const BucketPlan plan = PlanBucket(*limit);
  Ms wait;
  {
    const std::scoped_lock lock(mu_);
    const Ms now = sources_.now();
    const auto [it, added] = own_.try_emplace(
        workspace,
        MakeEmptyBucket(plan.rate_per_s * share, plan.cap * share, now));
    RateBucket& bucket = it->second;
    FillBucket(bucket, now);
    bucket.rate_per_s = plan.rate_per_s * share;
    bucket.burst = plan.cap * share;
    bucket.tokens = std::min(bucket.tokens, bucket.burst);
    wait = TimeUntil(bucket, 1);
    if (now + wait > give_up) return OverRate(wait);
    bucket.tokens -= 1;
  }
  if (wait > Ms{0}) sources_.sleep(wait);
  // Back in contact, the share belongs to the bucket's owner again.
  *again = sources_.own_share() <= 0;
  return std::nullopt;
}

void FleetLimiter::Prune() {
  const std::scoped_lock lock(mu_);
  book_.Prune(sources_.now());
}

}  // namespace knapweed
