#ifndef KNAPWEED_GATEWAY_QUOTAS_H_
#define KNAPWEED_GATEWAY_QUOTAS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "knapweed/gateway/fleet_config.h"
#include "knapweed/gateway/shared_row.h"
#include "knapweed/limits/rate_bucket.h"

/// Rates of workspaces over all gateways. A row per workspace holds its bucket;
/// each gateway takes tokens out of it ahead of its calls.
namespace knapweed::gateway {

/// What the platform tolerates above rate and burst within its window.
struct QuotaTolerance {
  Ms window{5000};
  double over_share = 0.1;
  double slack_calls = 20;
};

/// Tokens to take from a bucket at once, and the most that it may hold.
struct GrantPlan {
  double grant = 1;
  double capacity = 1;
};

/// How many tokens a gateway with this demand takes at once. What all gateways
/// hold together stays within the tolerance, whatever each of them does with
/// it.
GrantPlan PlanGrant(const Workspace& workspace, const QuotaTolerance& tolerance,
                    double demand_per_s, uint32_t gateways);

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
        tolerance_(tolerance) {}

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
    explicit Holding(asio::io_context& loop) : refilled(loop) {}
    CachedRow row;
    double tokens = 0;
    Ms granted_at;
    /// Calls in the current and the last second, for the demand.
    double demand_per_s = 0;
    uint32_t calls = 0;
    Ms counted_since;
    bool busy = false;
    /// Share of the bucket that was left by the last grant, and when.
    double level_share = 1;
    /// No grant before this: the bucket was found empty.
    Ms empty_until;
    Event refilled;
    /// Spent from while the store is away.
    RateBucket own_share;
    bool in_outage = false;
  };
  using HoldingPtr = std::shared_ptr<Holding>;

  HoldingPtr Find(const std::string& name);
  void CountDemand(Holding& holding);
  Task<void> Refill(HoldingPtr holding, Workspace workspace);
  QuotaVerdict TakeOwnShare(Holding& holding, const Workspace& workspace);

  asio::io_context& loop_;
  Clock clock_;
  Store& store_;
  SharedRows& rows_;
  QuotaTolerance tolerance_;
  uint32_t gateways_ = 1;
  std::map<std::string, HoldingPtr> holdings_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_QUOTAS_H_
