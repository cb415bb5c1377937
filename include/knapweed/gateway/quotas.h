#ifndef KNAPWEED_GATEWAY_QUOTAS_H_
#define KNAPWEED_GATEWAY_QUOTAS_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "knapweed/base/clock.h"
#include "knapweed/gateway/fleet_config.h"
#include "knapweed/limits/rate_bucket.h"
#include "knapweed/policy/fleet_quota.h"

/// Rate limits of workspaces, enforced jointly by all gateways. Each gateway
/// counts the calls that it admits and publishes the counts about twice a
/// second; each decides locally from its own counts and the last ones received
/// from the others. No call waits for the store.
namespace knapweed::gateway {

/// The load of each workspace, by name.
using UseByWorkspace = std::map<std::string, WorkspaceUse>;

/// Adds one gateway's use to a sum.
void AddUse(const UseByWorkspace& use, UseByWorkspace& sum);

/// The use at all other gateways together, and their number, as far as they can
/// be asked.
struct UseOfOthers {
  UseByWorkspace use;
  uint32_t gateways = 0;
  /// Gateways that can't be asked, and the calls per second of each workspace
  /// at these and at those in contact, this one included, when all could.
  uint32_t silent_gateways = 0;
  std::map<std::string, KnownDemand> known;
};

/// Adds the demand of a gateway in contact, or of one that can't be asked.
void AddInContact(const UseByWorkspace& use, UseOfOthers& others);
void AddSilent(const UseByWorkspace& use, UseOfOthers& others);

/// Whether a call starts a program, and who decides on that.
enum class ProgramStart : uint8_t {
  /// The call belongs to a program that has started, or to none.
  kNone,
  /// The workspace's home has granted the start.
  kGranted,
  /// The home can't be asked; this gateway decides by the counts it knows.
  kDecideHere,
};

/// The decision on a call and its inputs. `retry_after` is set when the call is
/// refused.
struct QuotaVerdict {
  /// False if this gateway is not able to decide.
  bool decided = true;
  bool allowed = false;
  Ms retry_after;
  /// What the counts said of the call itself; unset if they were not asked, as
  /// for a workspace without a rate.
  std::optional<QuotaDecision> decision;
  QuotaInput input;
};

/// What holds a workspace's calls to its rate.
enum class RateBound : uint8_t {
  /// The counts alone: a gateway uses its part of the room, then its share of
  /// the rate. For fleets without permits; no `Gateway` uses it.
  kCounts,
  /// Each admitted call needs a permit as well, so the counts, which include an
  /// estimate of what others admit, decide only on starts of programs.
  kPermits,
};

/// Keeps the counts of this gateway and of the others, and decides on calls.
class Quotas {
 public:
  Quotas(const Clock& clock, QuotaTolerance tolerance,
         RateBound bound = RateBound::kCounts)
      : clock_(clock), tolerance_(tolerance), bound_(bound) {}

  /// Decides on the start of a program for all gateways, as the workspace's
  /// home, and counts it if it is granted. `waited` is the time since the first
  /// attempt to start it. Not `decided` while this gateway's own view is out of
  /// date.
  QuotaVerdict GrantStart(const Workspace& workspace, Ms waited);
  /// Decides on one call of the workspace and counts it if it is admitted.
  QuotaVerdict Take(const Workspace& workspace,
                    ProgramStart start = ProgramStart::kNone,
                    Ms waited = Ms{0});
  /// Counts an attempt after one that may have run its call.
  void CountAttempt(const std::string& workspace);
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
  /// The same for counts that another gateway has added up.
  void SetUseOfOthers(UseOfOthers others, Ms age);

 private:
  static constexpr size_t kSlotsPerWindow = 20;
  /// Each count is an array of time slots, newest last. The newest slot has
  /// only begun, so counting all calls of a window takes one slot more.
  static constexpr size_t kSlots = kSlotsPerWindow + 1;
  /// Slots whose calls are published: others use the sum for up to 1.2 s, and
  /// meanwhile its oldest calls leave the window.
  static constexpr size_t kPublishedSlots = 18;
  using Slots = std::array<uint32_t, kSlots>;
  /// Slots over which demands are averaged: few, so that a change shows
  /// quickly.
  static constexpr size_t kDemandSlots = 6;
  /// Estimate until enough programs have been counted.
  static constexpr double kInitialCallsPerProgram = 10;
  struct Counts {
    Slots allowed{};
    Slots arrived{};
    /// Programs started, and first turns that arrived.
    Slots begun{};
    Slots begin_requests{};
    /// Starts granted as the workspace's home.
    Slots granted{};
    uint32_t begun_since_update = 0;
    uint32_t admitted_since_update = 0;
    double demand_at_update_per_s = 0;
    double calls_per_program = kInitialCallsPerProgram;
    int64_t newest_slot = 0;
    RateBucket share;
  };

  /// Returns the current counts of a workspace.
  Counts& CountsOf(const std::string& workspace);
  QuotaInput InputFor(const Workspace& workspace, const Counts& counts);
  /// Returns whether a call is admitted by a decision, and takes a token of
  /// this gateway's share if it needs one.
  bool MayTake(QuotaDecision decision, const QuotaInput& input, Counts& counts);
  Ms DemandSpan() const;
  int64_t SlotNow() const;
  void Advance(Counts& counts) const;
  /// Returns the programs of a window. It must not be longer than the window,
  /// or a workspace would get less than its rate: their starts are spread by
  /// the rate, while calls are counted to bound them.
  static double Programs(const Slots& slots);
  WorkspaceUse UseOf(const Counts& counts) const;
  /// Updates the estimated calls per program from the counts of all gateways.
  void UpdateCallsPerProgram();

  const Clock& clock_;
  QuotaTolerance tolerance_;
  RateBound bound_;
  std::map<std::string, Counts> counts_;
  UseOfOthers others_;
  /// Number of gateways assumed until the first update: more than there are, so
  /// that a gateway that has just started spends little.
  static constexpr uint32_t kAssumedGateways = 32;
  uint32_t gateways_ = kAssumedGateways;
  Ms others_updated_at_;
  std::minstd_rand random_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_QUOTAS_H_
