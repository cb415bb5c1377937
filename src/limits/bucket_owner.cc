#include "knapweed/limits/bucket_owner.h"

#include <algorithm>
#include <cmath>

namespace knapweed {
namespace {

constexpr Ms kMinValid = Ms{50};
constexpr Ms kMaxValid = Seconds(1);
/// Clocks count whole milliseconds, at both ends of a grant.
constexpr Ms kClockStep = Ms{2};
/// The part of the burst that late use may hold back.
constexpr double kHeldBackShare = 0.25;
/// Tokens beyond a question's first come only from what the bucket holds above
/// this part of its cap. Those that expire unused are lost, which so never
/// brings the bucket lower.
constexpr double kReservedShare = 0.75;

Ms ToMs(double seconds) { return Ms{static_cast<int64_t>(seconds * 1000)}; }

}  // namespace

BucketPlan PlanBucket(const RateLimit& limit) {
  if (limit.rate_per_s <= 0) return BucketPlan{0, limit.burst, kMinValid};
  const double spare = std::max(0.0, limit.burst - 1);
  const double span =
      std::min(spare * kHeldBackShare / limit.rate_per_s, kMaxValid.Seconds());
  const Ms valid = std::max(kMinValid, ToMs(span));
  const double late_s = (valid + kClockStep).Seconds();
  const double held_back = limit.rate_per_s * late_s;
  if (limit.burst - held_back >= 1)
    return BucketPlan{limit.rate_per_s, limit.burst - held_back, valid};
  return BucketPlan{1 / (1 / limit.rate_per_s + late_s), 1, valid};
}

BucketOwner::BucketOwner(BucketOwnerSources sources)
    : sources_(std::move(sources)) {}

void BucketOwner::ApplyPlan(OwnedBucket& owned) const {
  const double left = 1 - withheld_;
  owned.bucket.rate_per_s = owned.plan.rate_per_s * left;
  owned.bucket.burst = owned.plan.cap * left;
  owned.bucket.tokens = std::min(owned.bucket.tokens, owned.bucket.burst);
}

/// A bucket whose past this process does not know was empty when the lease
/// began, but for what the owner before handed over.
void BucketOwner::Reset(const WorkspaceId& workspace, const BucketLease& lease,
                        OwnedBucket& owned) {
  owned = OwnedBucket{};
  owned.epoch = lease.epoch;
  owned.bucket.filled_at = lease.since;
  const auto it = handed_.find(workspace);
  if (it == handed_.end()) return;
  if (it->second.epoch + 1 == lease.epoch)
    owned.bucket.tokens = it->second.tokens;
  handed_.erase(it);
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
    // The limit must stand before the first fill, or the fill earns nothing.
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

absl::StatusOr<BucketAnswer> BucketOwner::Take(const BucketQuestion& question,
                                               Ms now) {
  const std::scoped_lock lock(mu_);
  Ms until;
  const absl::StatusOr<OwnedBucket*> owned =
      Open(question.workspace, now, &until);
  if (!owned.ok()) return owned.status();
  RateBucket& bucket = (*owned)->bucket;
  BucketAnswer answer;
  answer.valid = (*owned)->plan.valid;
  answer.start_after = TimeUntil(bucket, 1);
  // A promise beyond the lease could be spent again by the next owner.
  if (answer.start_after > std::min(question.max_wait, until - now)) {
    answer.retry_after = answer.start_after;
    answer.start_after = Ms{0};
    return answer;
  }
  const double extra =
      std::floor(bucket.tokens - 1 - bucket.burst * kReservedShare);
  const double wanted = std::max<uint32_t>(question.want, 1) - 1;
  answer.granted = 1 + static_cast<uint32_t>(std::clamp(extra, 0.0, wanted));
  bucket.tokens -= answer.granted;
  return answer;
}

void BucketOwner::SetWithheld(double share, Ms now) {
  const std::scoped_lock lock(mu_);
  withheld_ = std::clamp(share, 0.0, 1.0);
  for (auto& [workspace, owned] : buckets_) {
    // What was earned so far was earned at the old rate.
    FillBucket(owned.bucket, now);
    ApplyPlan(owned);
  }
}

std::optional<HandedBucket> BucketOwner::HandOver(const WorkspaceId& workspace,
                                                  Ms now) {
  const std::scoped_lock lock(mu_);
  Ms until;
  const absl::StatusOr<OwnedBucket*> owned = Open(workspace, now, &until);
  if (!owned.ok()) return std::nullopt;
  (*owned)->closed = true;
  const RateBucket& bucket = (*owned)->bucket;
  return HandedBucket{workspace, (*owned)->epoch, std::max(0.0, bucket.tokens),
                      TimeUntil(bucket, 0)};
}

void BucketOwner::Accept(const HandedBucket& handed, Ms now) {
  const std::scoped_lock lock(mu_);
  const auto it = buckets_.find(handed.workspace);
  const bool open =
      it != buckets_.end() && it->second.epoch == handed.epoch + 1;
  if (!open) {
    handed_[handed.workspace] = handed;
    return;
  }
  RateBucket& bucket = it->second.bucket;
  FillBucket(bucket, now);
  bucket.tokens = std::min(bucket.burst, bucket.tokens + handed.tokens);
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
