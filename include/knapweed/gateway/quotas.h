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

/// Rate limits of workspaces, enforced jointly by all gateways. Each gateway
/// counts the calls that it admits and publishes the counts about twice a
/// second; each decides locally from its own counts and the last ones received
/// from the others. No call waits for the store.
namespace knapweed::gateway {

/// How far the platform lets a workspace exceed its rate and burst within a
/// window: by a fraction of them and a number of calls.
struct QuotaTolerance {
  Ms window{5000};
  double over_share = 0.1;
  double slack_calls = 20;
};

/// The recent load of one workspace at one gateway, as published to the other
/// gateways.
struct WorkspaceUse {
  /// Calls admitted in the last window.
  double calls = 0;
  /// Calls that arrived, admitted or refused, except refused first turns of
  /// programs.
  double demand_per_s = 0;
  /// Programs started in the last window.
  double programs = 0;
  /// First turns of programs that arrived, admitted or refused.
  double program_demand_per_s = 0;
};
using UseByWorkspace = std::map<std::string, WorkspaceUse>;

/// The inputs of the decision on one call.
struct QuotaInput {
  double rate_per_s = 0;
  double burst = 0;
  Ms window;
  WorkspaceUse own;
  /// Calls admitted by this gateway in the last second.
  double own_last_second = 0;
  /// Sum over the other gateways, as last received.
  WorkspaceUse others;
  uint32_t gateways = 1;
  /// The counts of the other gateways are out of date.
  bool others_stale = false;
  bool begins_program = false;
  /// Time since the program's first attempt to start.
  Ms waited;
  /// Estimated number of calls per program of this workspace.
  double calls_per_program = 0;
  /// Programs started here since the counts of the others were last updated.
  double begun_since_update = 0;
  /// Random number between 0 and 1 that rounds a fraction of a program up or
  /// down, so that the expected value stays the same.
  double rounding_offset = 0;
};

/// The result of `DecideQuota`.
enum class QuotaDecision : uint8_t {
  kAllow,
  /// Allow if the token bucket of this gateway's share has a token.
  kFromShare,
  kRefuse,
};

/// Decides on a call by how much of the window's limit is used. Far below the
/// limit a gateway admits calls up to a cap per second, which keeps calls not
/// yet reported to the other gateways within the tolerance. Near the limit each
/// gateway spends only its share of the rate. At the limit calls are refused.
///
/// A program is worth nothing unless all its calls are admitted. When a
/// workspace asks for more than its rate, programs therefore start only while
/// the calls of those started in the last window fit into the rate. Programs
/// that have not been refused before go first, since only they can still end in
/// time.
QuotaDecision DecideQuota(const QuotaInput& input);

/// Returns this gateway's share of the rate, in calls per second. The shares of
/// all gateways add up to the rate when they have the same counts.
double ShareOfRate(const QuotaInput& input);

/// The decision on a call and its inputs. `retry_after` is set when the call is
/// refused.
struct QuotaVerdict {
  bool allowed = false;
  Ms retry_after;
  QuotaInput input;
  /// Age of the counts of the other gateways.
  Ms others_age;
};

/// Keeps the counts of this gateway and of the others, and decides on calls.
class Quotas {
 public:
  Quotas(const Clock& clock, QuotaTolerance tolerance)
      : clock_(clock), tolerance_(tolerance) {}

  /// Decides on one call of the workspace and counts it if it is admitted.
  /// `waited` is the time since the first attempt of a program that starts with
  /// this call.
  QuotaVerdict Take(const Workspace& workspace, bool begins_program,
                    Ms waited = Ms{0});
  /// Takes back the count of an admitted call that is not sent.
  void Return(const std::string& workspace);
  void SetTolerance(QuotaTolerance tolerance) { tolerance_ = tolerance; }

  /// Returns the counts of this gateway for publication.
  UseByWorkspace OwnUse();
  /// Adds the counts that an earlier process of this gateway published `age`
  /// ago, so that a restart does not reset them.
  void RestoreUse(const UseByWorkspace& use, Ms age);
  /// Replaces the counts of the other serving gateways by those that were read
  /// from the store `age` ago.
  void SetOthers(std::span<const UseByWorkspace> others, Ms age = Ms{0});

 private:
  /// Time slots of a window; each count is an array of slots, newest last.
  static constexpr size_t kSlots = 10;
  /// Estimate until enough programs have been counted.
  static constexpr double kInitialCallsPerProgram = 10;
  struct Counts {
    std::array<uint32_t, kSlots> allowed{};
    std::array<uint32_t, kSlots> arrived{};
    /// Programs started, and first turns that arrived.
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
  /// Updates the estimated calls per program from the counts of all gateways.
  void UpdateCallsPerProgram();

  const Clock& clock_;
  QuotaTolerance tolerance_;
  std::map<std::string, Counts> counts_;
  UseByWorkspace others_;
  /// Number of gateways assumed until the first update: more than there are, so
  /// that a gateway that has just started spends little.
  static constexpr uint32_t kAssumedGateways = 32;
  uint32_t gateways_ = kAssumedGateways;
  Ms others_updated_at_;
  std::minstd_rand random_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_QUOTAS_H_
