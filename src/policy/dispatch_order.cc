#include "knapweed/policy/dispatch_order.h"

#include <algorithm>

namespace knapweed {
namespace {

/// A prompt is long from this multiple of a typical one. Prompts of one service
/// differ by a factor of two without causing waits worth a change of order.
constexpr int64_t kLongFactor = 4;
/// A prompt that takes less than this part of the objective for the first part
/// of an answer isn't long, whatever is typical.
constexpr int64_t kLongObjectiveDivisor = 8;
/// A long prompt is deferred while its program has time for this many turns
/// with the present load. One is the turn itself, the other pays for the wait
/// and for an estimate that is too low.
constexpr int64_t kDeferredTurns = 2;
/// A program is late if its time is less than this part of the turn's time on
/// an idle engine. An estimate that is too high by a quarter must not put back
/// a program that can make it.
constexpr int64_t kLatePercent = 80;
/// Bound for spans, against overflow by absurd estimates.
constexpr Ms kMaxSpan{24LL * 3600 * 1000};

/// The priorities of one state: the first, and their number.
struct Levels {
  int first;
  int count;
};
constexpr Levels kPromptLevels{0, 4};
constexpr Levels kDeferredLevels{4, 3};
constexpr Levels kLateLevels{7, 3};
static_assert(kDeferredLevels.first ==
              kPromptLevels.first + kPromptLevels.count);
static_assert(kLateLevels.first ==
              kDeferredLevels.first + kDeferredLevels.count);
/// Engines know the priorities 0 to 9.
static_assert(kLateLevels.first + kLateLevels.count == 10);

Ms Bounded(Ms span) { return std::clamp(span, Ms{0}, kMaxSpan); }

int LevelIn(const Levels& levels, int operator_priority) {
  return levels.first + std::clamp(operator_priority, 0, levels.count - 1);
}

bool IsLate(const DispatchCall& call, Ms time_left) {
  if (time_left <= Ms{0}) return true;
  return time_left < Bounded(call.alone) * kLatePercent / 100;
}

bool HasTimeToWait(const DispatchCall& call, Ms time_left) {
  const Ms turn = std::max(Bounded(call.alone), Bounded(call.expected));
  return time_left >=
         turn * kDeferredTurns + Bounded(call.first_part_objective);
}

}  // namespace

bool HasLongPrompt(const DispatchCall& call) {
  const Ms typical = Bounded(call.typical_prefill) * kLongFactor;
  const Ms notable = Bounded(call.first_part_objective) / kLongObjectiveDivisor;
  const Ms least = std::max(typical, notable);
  return least > Ms{0} && Bounded(call.prefill) >= least;
}

DispatchState DispatchStateOf(const DispatchCall& call) {
  const std::optional<Ms>& left = call.time_left;
  if (left.has_value() && IsLate(call, *left)) return DispatchState::kLate;
  const bool may_wait = !left.has_value() || HasTimeToWait(call, *left);
  return may_wait && HasLongPrompt(call) ? DispatchState::kDeferred
                                         : DispatchState::kPrompt;
}

int DispatchPriority(const DispatchCall& call) {
  const int operator_priority = call.operator_priority;
  switch (DispatchStateOf(call)) {
    case DispatchState::kLate:
      return LevelIn(kLateLevels, operator_priority);
    case DispatchState::kDeferred:
      if (call.time_left.has_value()) {
        return LevelIn(kDeferredLevels, operator_priority);
      }
      return LevelIn(kPromptLevels, operator_priority) + 1;
    case DispatchState::kPrompt:
      break;
  }
  return LevelIn(kPromptLevels, operator_priority);
}

}  // namespace knapweed
