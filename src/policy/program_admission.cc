#include "knapweed/policy/program_admission.h"

#include <algorithm>
#include <cmath>

namespace knapweed {
namespace {

/// Width of the range of slowdowns over which the admitted share falls from one
/// to zero, relative to the target.
constexpr double kRange = 0.5;
/// Relative change of the target for a program that was refused before: it has
/// less time left than a new one.
constexpr double kRetryTargetFactor = 1.1;
/// Part of the time to its objective that a program can spend in turns; the
/// rest goes to its tools and pauses.
constexpr double kTurnShare = 0.75;
/// Weight of the earlier turns at each new one: those of the last 500 count.
constexpr double kKeptWeight = 0.998;
constexpr double kObjectiveWeight = 0.05;
constexpr double kMinStarts = 5;
constexpr double kDefaultTarget = 3;
constexpr double kMinTarget = 1.3;
constexpr double kMaxTarget = 8;
/// Bounds of Retry-After: sooner, callers would only ask again; later, capacity
/// that is free again would stand unused.
constexpr Ms kMinRetryAfter{100};
constexpr Ms kMaxRetryAfter{1500};

}  // namespace

void RecordTurn(ProgramPace& pace, bool begins_program, Ms time_left) {
  pace.turns = pace.turns * kKeptWeight + 1;
  pace.starts = pace.starts * kKeptWeight + (begins_program ? 1 : 0);
  if (!begins_program || time_left <= Ms{0}) return;
  const auto objective = static_cast<double>(time_left.count);
  double& mean = pace.mean_objective_ms;
  mean = mean == 0 ? objective : mean + kObjectiveWeight * (objective - mean);
}

double TargetSlowdown(const ProgramPace& pace, double turn_ms) {
  const bool is_known = pace.starts >= kMinStarts && turn_ms > 0;
  if (!is_known) return kDefaultTarget;
  const double turns_per_program = pace.turns / pace.starts;
  const double per_turn = pace.mean_objective_ms / turns_per_program;
  return std::clamp(kTurnShare * per_turn / turn_ms, kMinTarget, kMaxTarget);
}

ProgramAdmission DecideProgramStart(const ProgramArrival& arrival) {
  double target = arrival.target_slowdown;
  if (arrival.waited > Ms{0}) target *= kRetryTargetFactor;
  const double full = target * (1 - kRange / 2);
  const double none = target * (1 + kRange / 2);
  ProgramAdmission decision;
  decision.probability =
      std::clamp((none - arrival.slowdown) / (none - full), 0.0, 1.0);
  decision.admit = arrival.random_unit < decision.probability;
  if (decision.admit) return decision;
  // Calls in progress end within about their expected time; the excess over
  // the target has to end first. The random part keeps those that were refused
  // together from returning together.
  const double excess = std::max(arrival.slowdown / target - 1, 0.0);
  const double wait = static_cast<double>(arrival.expected_time.count) *
                      (0.5 + excess + arrival.random_unit / 2);
  decision.retry_after =
      std::clamp(Ms{std::llround(wait)}, kMinRetryAfter, kMaxRetryAfter);
  return decision;
}

}  // namespace knapweed
