#ifndef KNAPWEED_TESTS_RATE_LOAD_H_
#define KNAPWEED_TESTS_RATE_LOAD_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "knapweed/base/clock.h"

/// The load of one workspace, as `gateway__rate_load_test` simulates it: its
/// programs, their calls and what became of them.
namespace knapweed::gateway {

/// How a caller retries calls of one kind.
struct RetryPolicy {
  Ms deadline;
  int attempts = 2;
  /// Rounds of attempts; each round has a new deadline.
  int rounds = 1;
};

inline constexpr RetryPolicy kTurnRetries{Ms{4000}, 2, 3};
inline constexpr RetryPolicy kToolRetries{Ms{1500}, 2, 1};
inline constexpr Ms kTurnDuration{350};
inline constexpr Ms kToolDuration{120};

/// A program runs a turn, then its tool calls at once, then the next turn.
struct Program {
  Ms arrived;
  Ms target;
  int gateway = 0;
  std::vector<int> tools_after_turn;
  size_t turn = 0;
  int tools_open = 0;
  int calls = 0;
  int refused = 0;
  bool failed = false;
  /// Its calls fit into rate and burst, if none is refused.
  bool fits = false;
};

/// A call, or a retry of it, that is due at `at`.
struct PendingCall {
  Ms at;
  uint64_t number = 0;
  size_t program = 0;
  bool is_turn = false;
  Ms deadline;
  int attempts_left = 0;
  int rounds_left = 0;
  bool operator<(const PendingCall& other) const {
    return at != other.at ? at > other.at : number > other.number;
  }
};

/// The load of one workspace and the fleet that serves it.
struct Scenario {
  double rate = 0;
  /// Calls that arrive, relative to the rate.
  double demand = 1;
  int gateways = 7;
  /// During this span the demand is multiplied by `surge`.
  Ms surge_from;
  Ms surge_for;
  double surge = 1;
  /// Starts of programs are decided at the workspace's home.
  bool has_home = true;
  /// Each call needs a permit of a gateway that holds a slot of the workspace.
  bool has_permits = false;
  /// All gateways restart at this time; zero for never.
  Ms restart_at;
};

struct Outcome {
  int arrived = 0;
  /// Of the programs whose calls fit into rate and burst, together with those
  /// of all other programs: their number, their calls and what became of them.
  int fitting_programs = 0;
  int fitting_failed = 0;
  int fitting_calls = 0;
  int fitting_refused = 0;
  int on_time = 0;
  int late = 0;
  int failed_first = 0;
  int failed_midway = 0;
  size_t max_in_window = 0;
  double fitting = 0;
  double EarnedShare() const { return (on_time + 0.5 * late) / fitting; }
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_TESTS_RATE_LOAD_H_
