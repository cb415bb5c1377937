#ifndef KNAPWEED_GATEWAY_QUOTAS_H_
#define KNAPWEED_GATEWAY_QUOTAS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "knapweed/gateway/fleet_config.h"
#include "knapweed/gateway/shared_row.h"
#include "knapweed/limits/rate_bucket.h"

/// Rates of workspaces over all gateways. One row holds a bucket per workspace;
/// each gateway takes tokens for all its workspaces at once, ahead of its
/// calls.
namespace knapweed::gateway {

/// What the platform tolerates above rate and burst within its window.
struct QuotaTolerance {
  Ms window{5000};
  double over_share = 0.1;
  double slack_calls = 20;
};

/// What all gateways take tokens out of: one bucket per workspace.
struct BucketRow {
  struct Level {
    double tokens = 0;
    /// On the store's clock.
    Ms at;
  };
  std::map<std::string, Level> levels;
};

/// What one gateway would like of one workspace's bucket.
struct GrantWish {
  Workspace workspace;
  /// Tokens that it should hold.
  double wanted = 0;
  double held = 0;
};

/// What came of a wish, and the share of the bucket that is left.
struct Grant {
  double tokens = 0;
  double left_share = 1;
};

/// Most tokens that the bucket holds; the rest of the burst and half of the
/// tolerance may lie with the gateways.
double BucketCapacity(const Workspace& workspace);

/// Tokens that one of `gateways` should hold for this demand. What all of them
/// hold together stays within the tolerance, whatever each does with it.
double TokensToHold(const Workspace& workspace, const QuotaTolerance& tolerance,
                    double demand_per_s, uint32_t gateways);

/// Takes whole tokens for each wish, as far as they are there.
std::vector<Grant> TakeGrants(std::span<const GrantWish> wishes, Ms now,
                              BucketRow& row);

BucketRow DecodeBuckets(const nlohmann::json& json);
nlohmann::json EncodeBuckets(const BucketRow& row);

/// `allowed`, or when to come back.
struct QuotaVerdict {
  bool allowed = false;
  Ms retry_after;
};

class Quotas {
 public:
  Quotas(asio::io_context& loop, Clock clock, Store& store, SharedRows& rows,
         QuotaTolerance tolerance)
      : loop_(loop),
        clock_(clock),
        store_(store),
        rows_(rows),
        tolerance_(tolerance),
        refilled_(loop) {}

  /// Counts one call of the workspace. A call that begins a program is refused
  /// while the bucket is low: a program needs many calls to be worth anything,
  /// and those under way go first.
  Task<QuotaVerdict> Take(const Workspace& workspace, bool begins_program,
                          Ms deadline);
  /// A call that was counted is not sent after all.
  void Return(const std::string& workspace);
  void SetTolerance(QuotaTolerance tolerance) { tolerance_ = tolerance; }
  /// Number of gateways that serve callers.
  void SetGateways(uint32_t n) { gateways_ = n == 0 ? 1 : n; }

 private:
  struct Holding {
    Workspace workspace;
    double tokens = 0;
    Ms granted_at;
    /// Mean of the last half seconds, and calls in the current one.
    double demand_per_s = 0;
    uint32_t calls = 0;
    Ms counted_since;
    /// Share of the bucket that the last grant left.
    double level_share = 1;
    /// No grant is to be had before this: the bucket was found empty.
    Ms empty_until;
    /// Spent from while the store is away.
    RateBucket own_share;
    bool in_outage = false;
  };

  Holding& Find(const Workspace& workspace);
  void CountDemand(Holding& holding);
  bool IsLow(const Holding& holding) const;
  void StartRefill();
  Task<void> Refill();
  std::vector<GrantWish> MakeWishes();
  void TakeGranted(const GrantWish& wish, const Grant& grant);
  QuotaVerdict TakeOwnShare(Holding& holding);

  asio::io_context& loop_;
  Clock clock_;
  Store& store_;
  SharedRows& rows_;
  QuotaTolerance tolerance_;
  uint32_t gateways_ = 1;
  std::map<std::string, Holding> holdings_;
  CachedRow row_;
  bool refilling_ = false;
  uint64_t refills_ = 0;
  Ms refilled_at_;
  Event refilled_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_QUOTAS_H_
