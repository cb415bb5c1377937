#include "knapweed/limits/bucket_owner.h"

#include <algorithm>
#include <cmath>

namespace knapweed {
namespace {

/// Bounds of the validity of a grant.
constexpr Ms kMinValid = Ms{50};
constexpr Ms kMaxValid = Seconds(1);
/// Rounding error of a grant's time span: clocks count whole milliseconds, at
/// both ends.
constexpr Ms kClockRounding = Ms{2};
/// Maximum share of the burst that may be deducted for late use.
constexpr double kMaxHeldBackShare = 0.25;
/// Tokens beyond the first of a request are only taken from the content of the
/// bucket above this share of its capacity. Such tokens are lost when they
/// expire unused, and this bounds how far that can drain the bucket.
constexpr double kReservedShare = 0.75;

Ms ToMs(double seconds) { return Ms{static_cast<int64_t>(seconds * 1000)}; }

}  // namespace

BucketPlan PlanBucket(const RateLimit& limit) {
  if (limit.rate_per_s <= 0) return BucketPlan{0, limit.burst, kMinValid};
  const double spare = std::max(0.0, limit.burst - 1);
  const double span = std::min(spare * kMaxHeldBackShare / limit.rate_per_s,
                               kMaxValid.Seconds());
  const Ms valid = std::max(kMinValid, ToMs(span));
  const double late_s = (valid + kClockRounding).Seconds();
  const double held_back = limit.rate_per_s * late_s;
  if (limit.burst - held_back >= 1)
    return BucketPlan{limit.rate_per_s, limit.burst - held_back, valid};
  return BucketPlan{1 / (1 / limit.rate_per_s + late_s), 1, valid};
}

BucketOwner::BucketOwner(BucketOwnerSources sources)
    : sources_(std::move(sources)) {}

void BucketOwner::ApplyPlan(OwnedBucket& owned) const {
  const double remaining_share = 1 - withheld_share_;
  owned.bucket.rate_per_s = owned.plan.rate_per_s * remaining_share;
  owned.bucket.burst = owned.plan.cap * remaining_share;
  owned.bucket.tokens = std::min(owned.bucket.tokens, owned.bucket.burst);
}

/// Resets a bucket for a new lease. The bucket counts as empty at the start of
/// the lease, except for tokens handed over by the previous owner.
void BucketOwner::Reset(const WorkspaceId& workspace, const BucketLease& lease,
                        OwnedBucket& owned) {
  owned = OwnedBucket{};
  owned.epoch = lease.epoch;
  owned.bucket.filled_at = lease.since;
  const auto it = handovers_.find(workspace);
  if (it == handovers_.end()) return;
  if (it->second.epoch + 1 == lease.epoch)
    owned.bucket.tokens = it->second.tokens;
  handovers_.erase(it);
}

absl::StatusOr<BucketOwner::OwnedBucket*> BucketOwner::Open(
    const WorkspaceId& workspace, Ms now, Ms* until) {
  const std::optional<BucketLease> lease = sources_.lease(workspace);
  if (!lease || now >= lease->until)
    return absl::FailedPreconditionError("not the bucket's owner");
  const std::optional<RateLimit> limit = sources_.limit(workspace);
  if (!limit) return absl::NotFoundError("no such workspace");
  const auto [it, added] = buckets_.try_emplace(workspace);
  OwnedBucket& owned = it->second;
  if (added || owned.epoch != lease->epoch) {
    Reset(workspace, *lease, owned);
    // Sets the limit before the first fill, which otherwise adds no tokens.
    owned.plan = PlanBucket(*limit);
    ApplyPlan(owned);
  }
  if (owned.closed)
    return absl::FailedPreconditionError("the bucket is handed over");
  FillBucket(owned.bucket, now);
  owned.plan = PlanBucket(*limit);
  ApplyPlan(owned);
  *until = lease->until;
  return &owned;
}

absl::StatusOr<BucketResponse> BucketOwner::Take(const BucketRequest& request,
                                                 Ms now) {
  const std::scoped_lock lock(mu_);
  Ms until;
  const absl::StatusOr<OwnedBucket*> owned =
      Open(request.workspace, now, &until);
  if (!owned.ok()) return owned.status();
  RateBucket& bucket = (*owned)->bucket;
  BucketResponse response;
  response.valid = (*owned)->plan.valid;
  response.start_after = TimeUntil(bucket, 1);
  // A token granted beyond the end of the lease could be granted again by the
  // next owner.
  if (response.start_after > std::min(request.max_wait, until - now)) {
    response.retry_after = response.start_after;
    response.start_after = Ms{0};
    return response;
  }
  const double extra =
      std::floor(bucket.tokens - 1 - bucket.burst * kReservedShare);
  const double wanted = std::max<uint32_t>(request.want, 1) - 1;
  response.granted = 1 + static_cast<uint32_t>(std::clamp(extra, 0.0, wanted));
  bucket.tokens -= response.granted;
  return response;
}

void BucketOwner::SetWithheld(double share, Ms now) {
  const std::scoped_lock lock(mu_);
  withheld_share_ = std::clamp(share, 0.0, 1.0);
  for (auto& [workspace, owned] : buckets_) {
    // Tokens up to now accrue at the old rate.
    FillBucket(owned.bucket, now);
    ApplyPlan(owned);
  }
}

std::optional<BucketHandover> BucketOwner::HandOver(
    const WorkspaceId& workspace, Ms now) {
  const std::scoped_lock lock(mu_);
  Ms until;
  const absl::StatusOr<OwnedBucket*> owned = Open(workspace, now, &until);
  if (!owned.ok()) return std::nullopt;
  (*owned)->closed = true;
  const RateBucket& bucket = (*owned)->bucket;
  return BucketHandover{workspace, (*owned)->epoch,
                        std::max(0.0, bucket.tokens), TimeUntil(bucket, 0)};
}

void BucketOwner::Accept(const BucketHandover& handover, Ms now) {
  const std::scoped_lock lock(mu_);
  const auto it = buckets_.find(handover.workspace);
  const bool open =
      it != buckets_.end() && it->second.epoch == handover.epoch + 1;
  if (!open) {
    handovers_[handover.workspace] = handover;
    return;
  }
  RateBucket& bucket = it->second.bucket;
  FillBucket(bucket, now);
  bucket.tokens = std::min(bucket.burst, bucket.tokens + handover.tokens);
}

std::vector<BucketOwner::BucketState> BucketOwner::Dump() const {
  const std::scoped_lock lock(mu_);
  std::vector<BucketState> list;
  list.reserve(buckets_.size());
  for (const auto& [workspace, owned] : buckets_)
    list.push_back({workspace, owned.epoch, owned.bucket.tokens, owned.closed});
  return list;
}

}  // namespace knapweed
