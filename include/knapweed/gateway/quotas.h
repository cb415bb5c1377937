#ifndef KNAPWEED_GATEWAY_QUOTAS_H_
#define KNAPWEED_GATEWAY_QUOTAS_H_

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "knapweed/base/clock.h"
#include "knapweed/gateway/fleet_config.h"
#include "knapweed/limits/rate_bucket.h"

/// Rates of workspaces over all gateways. Each gateway counts the calls that it
/// lets through and tells the others about twice a second; each decides alone
/// from its own count and what it last heard. No call waits for the store.
namespace knapweed::gateway {

/// What the platform tolerates above rate and burst within its window.
struct QuotaTolerance {
  Ms window{5000};
  double over_share = 0.1;
  double slack_calls = 20;
};

/// What one gateway tells the others of one workspace.
struct WorkspaceUse {
  /// Calls let through in the last window.
  double calls = 0;
  /// Calls that came, let through or not, but for programs that may not begin.
  double demand_per_s = 0;
};
using UseByWorkspace = std::map<std::string, WorkspaceUse>;

/// Everything that decides on a call.
struct QuotaInput {
  double rate_per_s = 0;
  double burst = 0;
  Ms window;
  WorkspaceUse own;
  /// Calls of this gateway in the last second.
  double own_last_second = 0;
  /// Sum over the other gateways, as last heard.
  WorkspaceUse others;
  uint32_t gateways = 1;
  /// Nothing was heard of the others for a while.
  bool out_of_touch = false;
  bool begins_program = false;
};

enum class QuotaDecision : uint8_t {
  kAllow,
  /// Allow if this gateway's share of the rate has a token.
  kFromShare,
  kRefuse,
};

/// Far below the limit a gateway lets calls through up to a cap that keeps what
/// others have not heard of yet within the tolerance. Near it each spends its
/// share, and programs do not begin: one needs many calls to be worth anything,
/// and those under way go first. At the limit calls are refused.
QuotaDecision DecideQuota(const QuotaInput& input);

/// The part of the rate that this gateway may spend by itself. The parts of all
/// gateways that heard the same add up to the rate.
double ShareOfRate(const QuotaInput& input);

/// `allowed`, or when to come back.
struct QuotaVerdict {
  bool allowed = false;
  Ms retry_after;
};

/// The counts of this gateway and what it heard of the others.
class Quotas {
 public:
  Quotas(const Clock& clock, QuotaTolerance tolerance)
      : clock_(clock), tolerance_(tolerance) {}

  /// Counts one call of the workspace, if it may go.
  QuotaVerdict Take(const Workspace& workspace, bool begins_program);
  /// A call that was counted is not sent after all.
  void Return(const std::string& workspace);
  void SetTolerance(QuotaTolerance tolerance) { tolerance_ = tolerance; }

  /// What the others should hear.
  UseByWorkspace OwnUse();
  /// Counts what an earlier run of this gateway told, `age` ago, as let through
  /// here: a restart must not forget it.
  void Inherit(const UseByWorkspace& use, Ms age);
  /// What the other serving gateways told, just read from the store.
  void SetOthers(std::span<const UseByWorkspace> others);

 private:
  /// Calls by slots of time, newest last.
  static constexpr size_t kSlots = 10;
  struct Counts {
    std::array<uint32_t, kSlots> allowed{};
    std::array<uint32_t, kSlots> came{};
    int64_t newest_slot = 0;
    RateBucket share;
  };

  int64_t SlotNow() const;
  void Advance(Counts& counts) const;
  WorkspaceUse UseOf(const Counts& counts) const;

  const Clock& clock_;
  QuotaTolerance tolerance_;
  std::map<std::string, Counts> counts_;
  UseByWorkspace others_;
  /// Before anything is heard: more than there are, so that a gateway which has
  /// just started spends little.
  static constexpr uint32_t kAssumedGateways = 32;
  uint32_t gateways_ = kAssumedGateways;
  Ms heard_at_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_QUOTAS_H_
