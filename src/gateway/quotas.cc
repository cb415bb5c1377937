#include "knapweed/gateway/quotas.h"

#include <algorithm>
#include <cmath>

#include "knapweed/base/ids.h"
#include "knapweed/base/log.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("quota");

constexpr uint64_t kParts = 64;
/// A grant covers the demand of this long, so that a busy gateway writes less
/// than once a second and workspace.
constexpr double kGrantSpanS = 1.5;
/// Tokens older than this are dropped: they count for a window long past.
constexpr Ms kHoldFor{4000};
constexpr Ms kRefillTimeout{1500};
/// A store that is slow for a moment is waited for before own shares are spent.
constexpr Ms kOutageAfter{500};
/// Programs begin while this share of the bucket is there, by the last grant.
constexpr double kProgramLevel = 0.35;
constexpr Ms kLevelFresh{1000};
constexpr Ms kLeastWait{200};
constexpr Ms kMostWait{1500};
/// Part of its even share that a gateway out of touch spends: the others may
/// still spend from the bucket.
constexpr double kOwnShare = 0.8;

RowKey KeyOf(const std::string& name) {
  return {"quotas", "q" + std::to_string(HashBytes(name) % kParts), name};
}

/// Takes tokens from the bucket in a row. `granted` is what came of it.
bool TakeFromRow(const Workspace& workspace, const GrantPlan& plan, Ms now,
                 nlohmann::json& state, double* granted, double* left_share) {
  double level = plan.capacity;
  if (state.is_object()) {
    const Ms at{state.value("at_ms", int64_t{0})};
    const double passed_s = std::max((now - at).Seconds(), 0.0);
    level = state.value("tokens", 0.0) + workspace.rate_per_s * passed_s;
    now = std::max(now, at);
  }
  level = std::min(level, plan.capacity);
  *granted = std::floor(std::min(plan.grant, level));
  *left_share = (level - *granted) / plan.capacity;
  if (*granted < 1) return false;
  state = {{"tokens", level - *granted}, {"at_ms", now.count}};
  return true;
}

}  // namespace

GrantPlan PlanGrant(const Workspace& workspace, const QuotaTolerance& tolerance,
                    double demand_per_s, uint32_t gateways) {
  const double in_window =
      workspace.rate_per_s * tolerance.window.Seconds() + workspace.burst;
  const double tolerated =
      in_window * tolerance.over_share + tolerance.slack_calls;
  GrantPlan plan;
  // Half of the tolerance, and a quarter of the burst that the bucket then does
  // not hold, may lie with the gateways.
  const double outside = tolerated / 2 + workspace.burst / 4;
  const double most = std::max(outside / gateways, 1.0);
  plan.grant = std::clamp(std::ceil(demand_per_s * kGrantSpanS), 1.0, most);
  plan.capacity = std::max(workspace.burst * 0.75, 1.0);
  return plan;
}

Quotas::HoldingPtr Quotas::Find(const std::string& name) {
  HoldingPtr& holding = holdings_[name];
  if (holding == nullptr) {
    holding = std::make_shared<Holding>(loop_);
    holding->counted_since = clock_.Now();
  }
  return holding;
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

Task<QuotaVerdict> Quotas::Take(const Workspace& workspace, bool begins_program,
                                Ms deadline) {
  if (workspace.rate_per_s <= 0) co_return QuotaVerdict{true, Ms{0}};
  const HoldingPtr holding = Find(workspace.name);
  CountDemand(*holding);
  const Ms begun = clock_.Now();
  while (true) {
    const Ms now = clock_.Now();
    if (now - holding->granted_at > kHoldFor) holding->tokens = 0;
    const bool away = !store_.reachable() &&
                      (now - store_.lost_at() > kOutageAfter || now > begun);
    if (begins_program && holding->level_share < kProgramLevel && !away) {
      const Ms since = now - holding->granted_at;
      if (since < kLevelFresh) {
        const double wait_s = (kProgramLevel - holding->level_share) *
                              std::max(workspace.burst, 1.0) /
                              workspace.rate_per_s;
        co_return QuotaVerdict{
            false,
            std::clamp(Ms{std::llround(wait_s * 1000)}, kLeastWait, kMostWait)};
      }
    }
    if (holding->tokens >= 1) {
      holding->tokens -= 1;
      const bool low =
          holding->tokens < holding->demand_per_s * kGrantSpanS / 3;
      if (low && !holding->busy && !away && holding->empty_until <= now) {
        holding->busy = true;
        Spawn(loop_, Refill(holding, workspace));
      }
      co_return QuotaVerdict{true, Ms{0}};
    }
    if (away) co_return TakeOwnShare(*holding, workspace);
    if (holding->empty_until > now) {
      co_return QuotaVerdict{false, holding->empty_until - now};
    }
    if (now >= deadline) co_return QuotaVerdict{false, Ms{300}};
    if (!holding->busy) {
      holding->busy = true;
      Spawn(loop_, Refill(holding, workspace));
    }
    co_await holding->refilled.Wait(deadline - now);
  }
}

void Quotas::Return(const std::string& workspace) {
  const HoldingPtr holding = Find(workspace);
  if (!holding->in_outage) holding->tokens += 1;
}

Task<void> Quotas::Refill(HoldingPtr holding, Workspace workspace) {
  const GrantPlan plan =
      PlanGrant(workspace, tolerance_, holding->demand_per_s, gateways_);
  double granted = 0;
  double left_share = 1;
  const RowChange change = [&](nlohmann::json& state) {
    return TakeFromRow(workspace, plan, store_.StoreNow(), state, &granted,
                       &left_share);
  };
  const Ms deadline = clock_.Now() + kRefillTimeout;
  const RowKey key = KeyOf(workspace.name);
  const UpdateOutcome outcome =
      co_await rows_.Update(key, holding->row, change, deadline);
  const Ms now = clock_.Now();
  if (outcome == UpdateOutcome::kChanged) {
    if (now - holding->granted_at > kHoldFor) holding->tokens = 0;
    holding->tokens += granted;
    holding->granted_at = now;
    holding->level_share = left_share;
    holding->in_outage = false;
  } else if (outcome == UpdateOutcome::kDeclined) {
    // The bucket has less than one token; another gateway may get the next.
    const double wait_s = std::clamp(1.0 / workspace.rate_per_s, 0.1, 1.0);
    holding->level_share = 0;
    if (holding->tokens < 1) holding->granted_at = now;
    holding->empty_until = now + Ms{std::llround(wait_s * 1000)};
    kLog.Info("A workspace's rate is used up.",
              {{"workspace", workspace.name},
               {"rate_per_s", std::to_string(workspace.rate_per_s)},
               {"demand_per_s", std::to_string(holding->demand_per_s)}});
  }
  holding->busy = false;
  holding->refilled.Notify();
}

QuotaVerdict Quotas::TakeOwnShare(Holding& holding,
                                  const Workspace& workspace) {
  const Ms now = clock_.Now();
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
