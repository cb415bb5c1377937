#ifndef KNAPWEED_POLICY_FLEET_QUOTA_H_
#define KNAPWEED_POLICY_FLEET_QUOTA_H_

#include <cstdint>

#include "knapweed/base/clock.h"

/// Decides on calls of a workspace whose rate holds across all gateways, by a
/// gateway's own counts and those of the others as they were when each
/// published them. Pure functions: who asks whom is up to the caller.
namespace knapweed {

/// How far the platform lets a workspace exceed its rate and burst within a
/// window: by a fraction of them and a number of calls.
struct QuotaTolerance {
  /// Rounded down, so that it holds no more calls than stated.
  Ms window{5000};
  double over_share = 0.1;
  double slack_calls = 20;
};

/// The recent load of one workspace at one gateway, as published to the other
/// gateways.
struct WorkspaceUse {
  /// Calls admitted in the last window.
  double calls = 0;
  /// Calls admitted lately.
  double admitted_per_s = 0;
  /// Calls that arrived, admitted or refused, except refused first turns of
  /// programs.
  double demand_per_s = 0;
  /// Programs started in the last window.
  double programs = 0;
  /// First turns of programs that arrived, admitted or refused.
  double program_demand_per_s = 0;
};

/// The inputs of the decision on one call.
struct QuotaInput {
  double rate_per_s = 0;
  double burst = 0;
  QuotaTolerance tolerance;
  WorkspaceUse own;
  /// Sum over the other gateways, as last read.
  WorkspaceUse others;
  /// Time over which the figures per second are averaged.
  Ms demand_span{1500};
  /// Time since the counts of the others were read.
  Ms others_age;
  uint32_t gateways = 1;
  /// Calls admitted here since the counts of the others were last read, and
  /// this gateway's demand at that time.
  double admitted_since_update = 0;
  double demand_at_update_per_s = 0;
  /// This gateway decides on the starts at all gateways, so `begun` is exact.
  bool decides_for_all = false;
  /// Programs started in the last window by all gateways, as far as known.
  double begun = 0;
  /// Time since the program's first attempt to start.
  Ms waited;
  /// Estimated number of calls per program of this workspace.
  double calls_per_program = 0;
  /// Programs started here since the counts of the others were last read.
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

/// Age from which counts of the other gateways are out of date.
inline constexpr Ms kOthersStaleAfter{2500};

/// Returns whether a program may start; see `DecideQuota`.
bool MayBegin(const QuotaInput& input);

/// Decides on one call of a program that has started. Answers two loads: a
/// workspace that asks for several times its rate, and one far below it whose
/// rate is less than a call a second for each gateway.
///
/// A program is worth nothing unless all its calls are admitted. So the calls
/// of programs in progress are admitted up to what the platform tolerates, less
/// what the other gateways are expected to have admitted since they published
/// their counts. Each gateway may use a part of that room by its demand until
/// it reads the counts again, so that a sudden surge at all of them fits. The
/// rate itself is held at the start of programs: they start only while the
/// calls of those started in the last window fit into the rate and burst, or
/// into the rate alone in an overload. Then programs that have not been refused
/// before go first, since only they can still end in time.
///
/// While the counts of the others are out of date, a gateway spends only its
/// share of the rate.
QuotaDecision DecideQuota(const QuotaInput& input);

/// The demand of a workspace when all gateways last knew of each other, and how
/// many of them can be asked now.
struct KnownDemand {
  double in_contact_per_s = 0;
  double silent_per_s = 0;
  uint32_t gateways_in_contact = 1;
  uint32_t silent_gateways = 0;
};

/// Returns the fraction of the rate that the gateways in contact may use
/// together, whatever the silent ones do: the fractions of all groups of
/// gateways add up to 1.
double PartInContact(double rate_per_s, const KnownDemand& known);

/// Returns this gateway's share of the rate, in calls per second. The shares of
/// all gateways add up to the rate when they have the same counts.
double ShareOfRate(const QuotaInput& input);

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_FLEET_QUOTA_H_
