#include "knapweed/gateway/quotas.h"

#include <algorithm>
#include <cmath>

#include "knapweed/base/log.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("quota");

/// A gateway holds the demand of this long, so that it writes about once a
/// second.
constexpr double kHoldSpanS = 2.0;
/// It asks for more once less than this share of it is left.
constexpr double kLowShare = 0.4;
/// Share of the burst that lies in the bucket.
constexpr double kBucketShare = 0.5;
/// Tokens older than this are dropped: they count for a window long past.
constexpr Ms kHoldFor{5000};
constexpr Ms kRefillTimeout{1500};
/// Pause between two refills that nobody waits for.
constexpr Ms kRefillEvery{500};
/// When a call comes back for which a refill left nothing.
constexpr Ms kRetryShared{300};
/// How long a bucket that was found empty is left alone.
constexpr Ms kEmptyFor{250};
/// A store that is slow for a moment is waited for before own shares are spent.
constexpr Ms kOutageAfter{500};
/// Part of its even share that a gateway out of touch spends: the others may
/// still spend from the bucket.
constexpr double kOwnShare = 0.8;
/// Programs begin while this share of the bucket is there, by the last grant.
constexpr double kProgramLevel = 0.35;
constexpr Ms kLevelFresh{1500};
constexpr Ms kLeastWait{200};
constexpr Ms kMostWait{1500};
/// Levels of workspaces that are full again are left out of the row after this.
constexpr Ms kForgetLevel{60000};

RowKey BucketKey() { return {"quotas", "", "buckets"}; }

}  // namespace

double BucketCapacity(const Workspace& workspace) {
  return std::max(workspace.burst * kBucketShare, 1.0);
}

double TokensToHold(const Workspace& workspace, const QuotaTolerance& tolerance,
                    double demand_per_s, uint32_t gateways) {
  const double in_window =
      workspace.rate_per_s * tolerance.window.Seconds() + workspace.burst;
  const double tolerated =
      in_window * tolerance.over_share + tolerance.slack_calls;
  const double outside = tolerated / 2 + workspace.burst * (1 - kBucketShare);
  const double most = std::max(std::floor(outside / gateways), 1.0);
  return std::clamp(std::ceil(demand_per_s * kHoldSpanS), 1.0, most);
}

std::vector<Grant> TakeGrants(std::span<const GrantWish> wishes, Ms now,
                              BucketRow& row) {
  std::erase_if(row.levels, [&](const auto& item) {
    return now - item.second.at > kForgetLevel;
  });
  std::vector<Grant> grants;
  for (const GrantWish& wish : wishes) {
    const double capacity = BucketCapacity(wish.workspace);
    const auto known = row.levels.find(wish.workspace.name);
    double level = capacity;
    Ms at = now;
    if (known != row.levels.end()) {
      const double passed_s = std::max((now - known->second.at).Seconds(), 0.0);
      level = known->second.tokens + wish.workspace.rate_per_s * passed_s;
      at = std::max(now, known->second.at);
    }
    level = std::clamp(level, 0.0, capacity);
    Grant grant;
    grant.tokens = std::floor(std::clamp(wish.wanted - wish.held, 0.0, level));
    grant.left_share = (level - grant.tokens) / capacity;
    if (grant.tokens > 0) {
      row.levels[wish.workspace.name] = {level - grant.tokens, at};
    }
    grants.push_back(grant);
  }
  return grants;
}

BucketRow DecodeBuckets(const nlohmann::json& json) {
  BucketRow row;
  if (!json.is_object()) return row;
  for (const auto& [name, item] : json.items()) {
    const bool readable = item.is_array() && item.size() == 2 &&
                          item[0].is_number() && item[1].is_number_integer();
    if (!readable) continue;
    row.levels[name] = {item[0].get<double>(), Ms{item[1].get<int64_t>()}};
  }
  return row;
}

nlohmann::json EncodeBuckets(const BucketRow& row) {
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [name, level] : row.levels) {
    // A hundredth of a token is enough, and short to write.
    json[name] = {std::floor(level.tokens * 100) / 100, level.at.count};
  }
  return json;
}

Quotas::Holding& Quotas::Find(const Workspace& workspace) {
  const auto [it, is_new] = holdings_.try_emplace(workspace.name);
  if (is_new) it->second.counted_since = clock_.Now();
  it->second.workspace = workspace;
  return it->second;
}

void Quotas::CountDemand(Holding& holding) {
  ++holding.calls;
  const Ms passed = clock_.Now() - holding.counted_since;
  constexpr Ms kSpan{500};
  if (passed < kSpan) return;
  const double now_per_s = holding.calls / passed.Seconds();
  holding.demand_per_s = (holding.demand_per_s + now_per_s) / 2;
  holding.calls = 0;
  holding.counted_since = clock_.Now();
}

bool Quotas::IsLow(const Holding& holding) const {
  return holding.tokens <
         kLowShare * TokensToHold(holding.workspace, tolerance_,
                                  holding.demand_per_s, gateways_);
}

Task<QuotaVerdict> Quotas::Take(const Workspace& workspace, bool begins_program,
                                Ms deadline) {
  if (workspace.rate_per_s <= 0) co_return QuotaVerdict{true, Ms{0}};
  // The map keeps its entries in place and never drops one.
  Holding& holding = Find(workspace);
  CountDemand(holding);
  const Ms begun = clock_.Now();
  const uint64_t enough_refills = refills_ + (refilling_ ? 2 : 1);
  while (true) {
    const Ms now = clock_.Now();
    if (now - holding.granted_at > kHoldFor) holding.tokens = 0;
    const bool away = !store_.reachable() &&
                      (now - store_.lost_at() > kOutageAfter || now > begun);
    const bool low_bucket = holding.level_share < kProgramLevel &&
                            now - holding.granted_at < kLevelFresh;
    if (begins_program && low_bucket && !away) {
      const double wait_s = (kProgramLevel - holding.level_share) *
                            BucketCapacity(workspace) / workspace.rate_per_s;
      co_return QuotaVerdict{false, std::clamp(Ms{std::llround(wait_s * 1000)},
                                               kLeastWait, kMostWait)};
    }
    if (holding.tokens >= 1) {
      holding.tokens -= 1;
      const bool due = now - refilled_at_ >= kRefillEvery;
      if (due && !away && holding.empty_until <= now && IsLow(holding)) {
        StartRefill();
      }
      co_return QuotaVerdict{true, Ms{0}};
    }
    if (away) co_return TakeOwnShare(holding);
    if (holding.empty_until > now) {
      co_return QuotaVerdict{false, holding.empty_until - now};
    }
    if (now >= deadline) co_return QuotaVerdict{false, kLeastWait};
    // A refill that began after this call came has been shared out among those
    // that waited longer: there is not enough for all.
    if (refills_ >= enough_refills) {
      co_return QuotaVerdict{false, kRetryShared};
    }
    if (!refilling_) StartRefill();
    co_await refilled_.Wait(deadline - now);
  }
}

void Quotas::Return(const std::string& workspace) {
  const auto it = holdings_.find(workspace);
  if (it != holdings_.end() && !it->second.in_outage) it->second.tokens += 1;
}

void Quotas::StartRefill() {
  if (refilling_) return;
  refilling_ = true;
  Spawn(loop_, Refill());
}

std::vector<GrantWish> Quotas::MakeWishes() {
  constexpr double kAnyDemand = 0.2;
  std::vector<GrantWish> wishes;
  const Ms now = clock_.Now();
  for (auto& [name, holding] : holdings_) {
    if (now - holding.granted_at > kHoldFor) holding.tokens = 0;
    if (now - holding.counted_since > kHoldFor) holding.demand_per_s = 0;
    const bool asked = holding.calls > 0 || holding.demand_per_s > kAnyDemand;
    if (!asked) continue;
    wishes.push_back({holding.workspace,
                      TokensToHold(holding.workspace, tolerance_,
                                   holding.demand_per_s, gateways_),
                      holding.tokens});
  }
  return wishes;
}

void Quotas::TakeGranted(const GrantWish& wish, const Grant& grant) {
  Holding& holding = Find(wish.workspace);
  const Ms now = clock_.Now();
  holding.tokens += grant.tokens;
  holding.granted_at = now;
  holding.level_share = grant.left_share;
  holding.in_outage = false;
  if (grant.tokens >= 1 || holding.tokens >= 1) return;
  holding.empty_until = now + kEmptyFor;
  kLog.Info("A workspace's rate is used up.",
            {{"workspace", wish.workspace.name},
             {"rate_per_s", std::to_string(wish.workspace.rate_per_s)},
             {"demand_per_s", std::to_string(holding.demand_per_s)}});
}

Task<void> Quotas::Refill() {
  const std::vector<GrantWish> wishes = MakeWishes();
  std::vector<Grant> grants;
  const RowChange change = [&](nlohmann::json& json) {
    BucketRow row = DecodeBuckets(json);
    grants = TakeGrants(wishes, store_.StoreNow(), row);
    json = EncodeBuckets(row);
    return std::any_of(grants.begin(), grants.end(),
                       [](const Grant& grant) { return grant.tokens >= 1; });
  };
  const Ms deadline = clock_.Now() + kRefillTimeout;
  const RowKey key = BucketKey();
  const UpdateOutcome outcome =
      co_await rows_.Update(key, row_, change, deadline);
  const bool confirmed =
      outcome == UpdateOutcome::kChanged || outcome == UpdateOutcome::kDeclined;
  if (confirmed) {
    for (size_t i = 0; i < wishes.size(); ++i)
      TakeGranted(wishes[i], grants[i]);
  }
  refilled_at_ = clock_.Now();
  refilling_ = false;
  ++refills_;
  refilled_.Notify();
}

QuotaVerdict Quotas::TakeOwnShare(Holding& holding) {
  const Ms now = clock_.Now();
  const Workspace& workspace = holding.workspace;
  RateBucket& share = holding.own_share;
  const double rate = workspace.rate_per_s * kOwnShare / gateways_;
  if (!holding.in_outage) {
    holding.in_outage = true;
    share = MakeEmptyBucket(rate, std::max(rate, 1.0), now);
    share.tokens = 1;
    kLog.Info(
        "Spending an own share of a rate while the store is away.",
        {{"workspace", workspace.name}, {"rate_per_s", std::to_string(rate)}});
  }
  const BucketTake take = TakeTokens(share, 1, now);
  return {take.taken, take.retry_after};
}

}  // namespace knapweed::gateway
