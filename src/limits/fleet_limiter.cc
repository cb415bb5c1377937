#include "knapweed/limits/fleet_limiter.h"

#include <algorithm>
#include <utility>

namespace knapweed {
namespace {

/// Delay before another request after the owner was unreachable.
constexpr Ms kOwnerRetryDelay = Ms{50};
/// Owners respond without delay. After this timeout the request is repeated, by
/// then possibly to another owner.
constexpr Ms kRequestTimeout = Ms{500};
/// The retry-after time when no owner was reachable.
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
  const Ms deadline = sources_.now() + max_wait;
  while (true) {
    const double share = sources_.own_share();
    bool retry = false;
    std::optional<CallError> error =
        share > 0 ? AdmitByOwnShare(workspace, share, deadline, &retry)
                  : AdmitByGrant(workspace, deadline, &retry);
    if (!retry) return error;
  }
}

std::optional<CallError> FleetLimiter::AdmitByGrant(
    const WorkspaceId& workspace, Ms deadline, bool* retry) {
  const Ms requested_at = sources_.now();
  BucketRequest request{workspace, 1, std::max(Ms{0}, deadline - requested_at)};
  {
    const std::scoped_lock lock(mu_);
    own_buckets_.clear();
    if (book_.UseHeldToken(workspace, requested_at)) return std::nullopt;
    request.want = book_.StartRequest(workspace);
  }
  const Ms timeout =
      std::clamp(request.max_wait, kOwnerRetryDelay, kRequestTimeout);
  const absl::StatusOr<BucketResponse> response =
      sources_.request_tokens(request, timeout);
  const Ms now = sources_.now();
  if (!response.ok()) {
    {
      const std::scoped_lock lock(mu_);
      book_.OnRequestFailure(workspace);
    }
    return HandleRequestFailure(response.status(), deadline, retry);
  }
  GrantedStart start;
  {
    const std::scoped_lock lock(mu_);
    start = book_.OnResponse(workspace, *response, requested_at, now);
  }
  if (response->granted == 0) return OverRate(response->retry_after);
  if (WaitForStart(start)) return std::nullopt;
  if (sources_.now() >= deadline) return OverRate(response->valid);
  *retry = true;
  return std::nullopt;
}

std::optional<CallError> FleetLimiter::HandleRequestFailure(
    const absl::Status& status, Ms deadline, bool* retry) {
  if (absl::IsNotFound(status)) return NoRule();
  if (sources_.now() + kOwnerRetryDelay > deadline) {
    return Refuse(ErrorCode::kOverloaded, kOwnerRetryAfter,
                  "The workspace's rate can't be checked at the moment.");
  }
  sources_.sleep(kOwnerRetryDelay);
  *retry = true;
  return std::nullopt;
}

/// Waits until the token can be used. Returns false when it has expired,
/// because the response was late or this process was paused.
bool FleetLimiter::WaitForStart(const GrantedStart& start) {
  const Ms now = sources_.now();
  if (start.start_at > now) sources_.sleep(start.start_at - now);
  return sources_.now() <= start.expires_at;
}

std::optional<CallError> FleetLimiter::AdmitByOwnShare(
    const WorkspaceId& workspace, double share, Ms deadline, bool* retry) {
  const std::optional<RateLimit> limit = sources_.limit(workspace);
  if (!limit) return NoRule();
  const BucketPlan plan = PlanBucket(*limit);
  Ms wait;
  {
    const std::scoped_lock lock(mu_);
    const Ms now = sources_.now();
    const auto [it, added] = own_buckets_.try_emplace(
        workspace,
        MakeEmptyBucket(plan.rate_per_s * share, plan.cap * share, now));
    RateBucket& bucket = it->second;
    FillBucket(bucket, now);
    bucket.rate_per_s = plan.rate_per_s * share;
    bucket.burst = plan.cap * share;
    bucket.tokens = std::min(bucket.tokens, bucket.burst);
    wait = TimeUntil(bucket, 1);
    if (now + wait > deadline) return OverRate(wait);
    bucket.tokens -= 1;
  }
  if (wait > Ms{0}) sources_.sleep(wait);
  // When contact is restored, the share is under the bucket owner's control
  // again, so the call needs a grant from the owner.
  *retry = sources_.own_share() <= 0;
  return std::nullopt;
}

void FleetLimiter::Prune() {
  const std::scoped_lock lock(mu_);
  book_.Prune(sources_.now());
}

}  // namespace knapweed
