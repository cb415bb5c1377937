#ifndef KNAPWEED_POLICY_PROGRAM_ADMISSION_H_
#define KNAPWEED_POLICY_PROGRAM_ADMISSION_H_

#include "knapweed/base/clock.h"

/// Decides whether a program may start. Answers an overload: a program is worth
/// little to its caller when it ends after its objective, and programs that all
/// run slowly all end late. So the service takes only as many as end in time,
/// and those that have started are finished.
namespace knapweed {

/// What one gateway has seen of the programs of a service.
struct ProgramPace {
  /// Mean time from the start of a program to its objective, in ms.
  double mean_objective_ms = 0;
  /// Turns of programs, and programs that have started; both lose weight with
  /// time.
  double turns = 0;
  double starts = 0;
};

/// Counts a turn; `time_left` is the time to the program's objective.
void RecordTurn(ProgramPace& pace, bool begins_program, Ms time_left);

/// Returns how many times as long as on an idle service a turn may take so that
/// programs end within their objectives. `turn_ms` is the time of a mean turn
/// on an idle service. Returns a cautious default until enough programs were
/// seen.
double TargetSlowdown(const ProgramPace& pace, double turn_ms);

/// The first turn of a program.
struct ProgramArrival {
  /// See `SlowdownOf`.
  double slowdown = 1;
  /// See `TargetSlowdown`.
  double target_slowdown = 2;
  /// Time that a mean turn takes at present, its prefill included.
  Ms expected_time;
  /// Time since the program was first refused.
  Ms waited;
  /// Random number between 0 and 1.
  double random_unit = 0;
};

/// Outcome of the decision; `retry_after` of a refused program is the time at
/// which room is expected.
struct ProgramAdmission {
  bool admit = true;
  double probability = 1;
  Ms retry_after;
};

/// Decides on one arrival. The share of programs that are admitted falls with
/// the slowdown, since a gateway sees the effect of its decisions only after a
/// while; many gateways that decide alike then refuse evenly rather than all at
/// once.
ProgramAdmission DecideProgramStart(const ProgramArrival& arrival);

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_PROGRAM_ADMISSION_H_
