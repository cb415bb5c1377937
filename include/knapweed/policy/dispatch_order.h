#ifndef KNAPWEED_POLICY_DISPATCH_ORDER_H_
#define KNAPWEED_POLICY_DISPATCH_ORDER_H_

#include <cstdint>
#include <optional>

#include "knapweed/base/clock.h"

/// The order of calls that wait at an engine. An engine reads one prompt after
/// the other, so that a long prompt holds up the short ones behind it; it
/// starts waiting calls by the priority that the gateway sends, then in order
/// of arrival. Pure functions of one call; nothing is kept between calls.
namespace knapweed {

/// What is known of a call when it is sent to an engine. Negative spans count
/// as zero, except `time_left`.
struct DispatchCall {
  /// Priority of the route or workspace: 0 is the most urgent. Usually 0 to 2.
  int operator_priority = 0;
  /// Time from now until the whole program should be complete; negative if that
  /// time has passed, unset if the program states none.
  std::optional<Ms> time_left;
  /// Expected time of the turn when the engine runs nothing else.
  Ms alone;
  /// Expected time of the turn with the engine's present load.
  Ms expected;
  /// Time to prefill the part of the prompt that is not cached.
  Ms prefill;
  /// Time to prefill a typical prompt of the service; zero if not known.
  Ms typical_prefill;
  /// Time within which the first part of an answer should arrive.
  Ms first_part_objective;
};

/// The states of a call, in the order in which engines should start them.
enum class DispatchState : uint8_t {
  /// Its prompt is short, or long with little time left.
  kPrompt,
  /// Its prompt is long, and its program has the time to wait for short ones.
  kDeferred,
  /// Its program can't end within its objective any more.
  kLate,
};

/// Returns whether reading the call's prompt holds up others noticeably: it
/// takes several times as long as a typical one, and a notable part of the
/// objective for the first part of an answer.
bool HasLongPrompt(const DispatchCall& call);

/// Returns the state of a call. One without a time left is never late, and it
/// is deferred if its prompt is long. Engines don't learn that time passes, so
/// a call is deferred only while its time suffices for the wait too.
DispatchState DispatchStateOf(const DispatchCall& call);

/// Returns the priority to send, from 0 (first) to 9. Answers a load of long
/// prompts beside short ones, and an overload in which only some programs can
/// still end in time.
///
/// Calls are ordered by their state, and by the operator's priority within a
/// state. Priorities of 3 and more are equal among prompt calls, and those of 2
/// and more in the other states. A long prompt without a time left follows the
/// short ones of its operator's priority and no others, because nothing would
/// end its wait behind the short ones of less urgent operators.
///
/// There are few levels, because an engine that is out of memory preempts the
/// least urgent call and must read its prompt again.
int DispatchPriority(const DispatchCall& call);

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_DISPATCH_ORDER_H_
