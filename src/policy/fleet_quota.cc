#include "knapweed/policy/fleet_quota.h"

#include <algorithm>
#include <cmath>

namespace knapweed {
namespace {

/// Time from the publication of a gateway's counts until another gateway has
/// read them, at most: an exchange interval and the store's answers.
constexpr Ms kPublicationDelay{900};
/// Deviations of a Poisson process by which the calls that the others have
/// admitted since may exceed their expected number, and calls kept back beside
/// them for a workspace that has just begun to send.
constexpr double kUnreportedDeviations = 2;
constexpr double kReserveCalls = 8;
/// Most that the other gateways are expected to admit, relative to the rate.
constexpr double kMaxAdmittedFactor = 1.5;
/// Calls that a gateway may admit between two reads of the others' counts
/// whatever its part, those that a few programs send at once, and the fraction
/// of the room that they may take.
constexpr double kMinAdmittedUnseen = 10;
constexpr double kMinUnseenShare = 0.5;
/// Fraction of rate and burst in use above which no programs start, which
/// leaves the rest to the calls of programs in progress.
constexpr double kNewProgramShare = 0.9;
/// Below this fraction of the limit and of the rate programs start without
/// restriction.
constexpr double kUnrestrictedShare = 0.5;
/// A workspace is overloaded if its programs arrive faster than its rate allows
/// by this factor and by these deviations of a Poisson process.
constexpr double kOverloadFactor = 1.5;
constexpr double kOverloadDeviations = 2;
/// Fraction of the room for programs that is open in an overload to those whose
/// first attempt is longer ago than `kRetriedAfter`.
constexpr double kRetriedProgramShare = 0.5;
constexpr Ms kRetriedAfter{300};
/// Fraction of the tolerated calls above the limit that the start of programs
/// may use, while there is no overload.
constexpr double kProgramSlackShare = 0.6;
constexpr double kMinCallsPerProgram = 1;
/// Fraction of the burst that counts into the limit while the counts of the
/// others are out of date.
constexpr double kStaleBurstShare = 0.5;

double Limit(const QuotaInput& input) {
  return input.rate_per_s * input.tolerance.window.Seconds() + input.burst;
}

/// Returns whether programs arrive much faster than the rate allows, more than
/// chance explains.
bool IsOverloaded(const QuotaInput& input, double calls_per_program) {
  const double span_s = input.demand_span.Seconds();
  const double arrived = span_s * (input.own.program_demand_per_s +
                                   input.others.program_demand_per_s);
  const double fitting = span_s * input.rate_per_s / calls_per_program;
  return arrived >
         kOverloadFactor * fitting + kOverloadDeviations * std::sqrt(fitting);
}

/// Returns whether a program fits into this gateway's part of the room for
/// `max_programs`.
bool FitsPart(const QuotaInput& input, double max_programs) {
  // Programs started here since the last update are counted against this
  // gateway's part below.
  const double room = max_programs - (input.begun - input.begun_since_update);
  if (room <= 0) return false;
  const double own_part =
      input.own.program_demand_per_s /
      (input.own.program_demand_per_s + input.others.program_demand_per_s);
  return input.begun_since_update <
         std::floor(room * own_part + input.rounding_offset);
}

/// Returns this gateway's part of the fleet's demand when the counts were read.
double DemandPart(const QuotaInput& input) {
  const double all = input.demand_at_update_per_s + input.others.demand_per_s;
  if (all <= 0) return 1.0 / std::max(input.gateways, uint32_t{1});
  return input.demand_at_update_per_s / all;
}

/// Returns the calls a second that the others are expected to admit: what
/// arrives there, but in an overload, when most of it is refused, about the
/// rate.
double AdmittedElsewherePerS(const QuotaInput& input) {
  const double most = std::max(input.others.admitted_per_s,
                               kMaxAdmittedFactor * input.rate_per_s);
  return std::min(input.others.demand_per_s, most);
}

/// Decides by counts of the others that are out of date.
QuotaDecision DecideAlone(const QuotaInput& input) {
  const double limit = input.rate_per_s * input.tolerance.window.Seconds() +
                       kStaleBurstShare * input.burst;
  const double used = input.own.calls + input.others.calls;
  return used < limit ? QuotaDecision::kFromShare : QuotaDecision::kRefuse;
}

}  // namespace

bool MayBegin(const QuotaInput& input) {
  const double used = input.own.calls + input.others.calls;
  const double demand = input.own.demand_per_s + input.others.demand_per_s;
  const double calls_per_program =
      std::max(input.calls_per_program, kMinCallsPerProgram);
  const bool overloaded = IsOverloaded(input, calls_per_program);
  // The burst and the tolerance serve peaks, and programs that send more calls
  // than expected. Only a gateway that knows of all starts can spend them.
  const bool serves_peaks = input.decides_for_all && !overloaded;
  const double slack = kProgramSlackShare * input.tolerance.slack_calls;
  const double limit = Limit(input) + (serves_peaks ? slack : 0);
  const bool unrestricted = !overloaded && used < kUnrestrictedShare * limit &&
                            demand < kUnrestrictedShare * input.rate_per_s;
  if (unrestricted && !input.decides_for_all) return true;
  if (used >= kNewProgramShare * limit) return false;
  const bool yields = overloaded && input.waited > kRetriedAfter;
  const double share = yields ? kRetriedProgramShare : 1;
  const double planned_calls = serves_peaks ? limit : limit - input.burst;
  const double max_programs = share * planned_calls / calls_per_program;
  if (input.decides_for_all) return input.begun < max_programs;
  return FitsPart(input, max_programs);
}

double PartInContact(double rate_per_s, const KnownDemand& known) {
  const double all = known.in_contact_per_s + known.silent_per_s;
  if (rate_per_s <= 0) return 1;
  if (all >= rate_per_s) return known.in_contact_per_s / all;
  const uint32_t gateways = known.gateways_in_contact + known.silent_gateways;
  const double spare = rate_per_s - all;
  const double spare_part = spare * known.gateways_in_contact / gateways;
  return (known.in_contact_per_s + spare_part) / rate_per_s;
}

double ShareOfRate(const QuotaInput& input) {
  // With counts of two times the shares would add up to more than the rate: the
  // others' demand of before an outage and the own one of after it.
  const double own = input.others_age > kOthersStaleAfter
                         ? input.demand_at_update_per_s
                         : input.own.demand_per_s;
  const double all = own + input.others.demand_per_s;
  if (all >= input.rate_per_s) {
    return input.rate_per_s * own / std::max(all, 1e-9);
  }
  return own + (input.rate_per_s - all) / std::max(input.gateways, uint32_t{1});
}

QuotaDecision DecideQuota(const QuotaInput& input) {
  if (input.others_age > kOthersStaleAfter) return DecideAlone(input);
  const QuotaTolerance& tolerance = input.tolerance;
  const double tolerated =
      Limit(input) * (1 + tolerance.over_share) + tolerance.slack_calls;
  const double unreported = AdmittedElsewherePerS(input) *
                            (kPublicationDelay + input.others_age).Seconds();
  const double reserve =
      kReserveCalls + kUnreportedDeviations * std::sqrt(unreported);
  const double room =
      tolerated - reserve - unreported - input.own.calls - input.others.calls;
  if (room <= 0) return QuotaDecision::kRefuse;
  const double room_at_update = room + input.admitted_since_update;
  const double min_unseen =
      std::min(kMinAdmittedUnseen, kMinUnseenShare * room_at_update);
  const double unseen =
      std::max(min_unseen, room_at_update * DemandPart(input));
  return input.admitted_since_update < unseen ? QuotaDecision::kAllow
                                              : QuotaDecision::kFromShare;
}

}  // namespace knapweed
