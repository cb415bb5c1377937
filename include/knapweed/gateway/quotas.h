#ifndef KNAPWEED_GATEWAY_QUOTAS_H_
#define KNAPWEED_GATEWAY_QUOTAS_H_

#include <array>
#include <cstdint>
#include <map>
#include <random>
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
  /// Programs begun in the last window.
  double programs = 0;
  /// First turns that came, let through or not.
  double program_demand_per_s = 0;
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
  bool others_stale = false;
  bool begins_program = false;
  /// Since the program first asked to begin.
  Ms waited;
  /// Calls that a program of this workspace makes, as learned.
  double calls_per_program = 0;
  /// Programs begun here since the others were last heard of.
  double begun_since_update = 0;
  /// Between 0 and 1, to round a part of a program up or down.
  double rounding_offset = 0;
};

enum class QuotaDecision : uint8_t {
  kAllow,
  /// Allow if this gateway's share of the rate has a token.
  kFromShare,
  kRefuse,
};

/// Far below the limit a gateway lets calls through up to a cap that keeps what
/// others have not heard of yet within the tolerance. Near it each spends its
/// share. At the limit calls are refused.
///
/// A program is worth nothing unless all its calls pass, so programs begin only
/// while the calls of those begun in the last window fit into the rate; the
/// load this answers is a workspace that asks for more than its rate. Those
/// that have not been refused go first, since only they can still end in time.
QuotaDecision DecideQuota(const QuotaInput& input);

/// The part of the rate that this gateway may spend by itself. The parts of all
/// gateways that heard the same add up to the rate.
double ShareOfRate(const QuotaInput& input);

/// `allowed`, or when to come back; and what decided it.
struct QuotaVerdict {
  bool allowed = false;
  Ms retry_after;
  QuotaInput input;
  /// Since the others were last heard of.
  Ms others_age;
};

/// The counts of this gateway and what it heard of the others.
class Quotas {
 public:
  Quotas(const Clock& clock, QuotaTolerance tolerance)
      : clock_(clock), tolerance_(tolerance) {}

  /// Counts one call of the workspace, if it may go. `waited` is how long ago a
  /// program that begins with it first asked.
  QuotaVerdict Take(const Workspace& workspace, bool begins_program,
                    Ms waited = Ms{0});
  /// A call that was counted is not sent after all.
  void Return(const std::string& workspace);
  void SetTolerance(QuotaTolerance tolerance) { tolerance_ = tolerance; }

  /// What the others should hear.
  UseByWorkspace OwnUse();
  /// Counts what an earlier run of this gateway told, `age` ago, as let through
  /// here: a restart must not forget it.
  void RestoreUse(const UseByWorkspace& use, Ms age);
  /// What the other serving gateways told, read from the store `age` ago.
  void SetOthers(std::span<const UseByWorkspace> others, Ms age = Ms{0});

 private:
  /// Calls by slots of time, newest last.
  static constexpr size_t kSlots = 10;
  /// Before anything is learned.
  static constexpr double kInitialCallsPerProgram = 10;
  struct Counts {
    std::array<uint32_t, kSlots> allowed{};
    std::array<uint32_t, kSlots> arrived{};
    /// Programs begun, and first turns that came.
    std::array<uint32_t, kSlots> begun{};
    std::array<uint32_t, kSlots> begin_requests{};
    uint32_t begun_since_update = 0;
    double calls_per_program = kInitialCallsPerProgram;
    int64_t newest_slot = 0;
    RateBucket share;
  };

  int64_t SlotNow() const;
  void Advance(Counts& counts) const;
  WorkspaceUse UseOf(const Counts& counts) const;
  /// Learns from what all gateways told how many calls a program makes.
  void UpdateCallsPerProgram();

  const Clock& clock_;
  QuotaTolerance tolerance_;
  std::map<std::string, Counts> counts_;
  UseByWorkspace others_;
  /// Before anything is heard: more than there are, so that a gateway which has
  /// just started spends little.
  static constexpr uint32_t kAssumedGateways = 32;
  uint32_t gateways_ = kAssumedGateways;
  Ms others_updated_at_;
  std::minstd_rand random_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_QUOTAS_H_
