// Tests of the priority that a call is sent with: rules as tables, and loads
// played in a model of an engine.
#include <doctest/doctest.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>

#include "knapweed/policy/dispatch_order.h"

namespace knapweed {
namespace {

constexpr Ms kShortPrefill{20};
constexpr Ms kLongPrefill{210};
constexpr Ms kMax{std::numeric_limits<int64_t>::max()};
constexpr Ms kMin{std::numeric_limits<int64_t>::min()};

/// A turn of 300 ms on an idle engine, of 400 ms with its present load.
DispatchCall MakeCall(int operator_priority, Ms prefill,
                      std::optional<Ms> time_left) {
  DispatchCall call;
  call.operator_priority = operator_priority;
  call.time_left = time_left;
  call.alone = Ms{300};
  call.expected = Ms{400};
  call.prefill = prefill;
  call.typical_prefill = kShortPrefill;
  call.first_part_objective = Ms{400};
  return call;
}

TEST_CASE("the priority by length, time left and operator's priority") {
  struct Row {
    const char* what;
    int operator_priority;
    Ms prefill;
    std::optional<Ms> time_left;
    int priority;
  };
  const Row rows[] = {
      {"short with time", 0, kShortPrefill, Ms{5000}, 0},
      {"short with little time", 0, kShortPrefill, Ms{300}, 0},
      {"long with time", 0, kLongPrefill, Ms{5000}, 4},
      {"long with just the time to wait", 0, kLongPrefill, Ms{1200}, 4},
      {"long whose slack shrinks", 0, kLongPrefill, Ms{1199}, 0},
      {"can still make it by a wrong estimate", 0, kLongPrefill, Ms{240}, 0},
      {"long and late", 0, kLongPrefill, Ms{239}, 7},
      {"short and late", 0, kShortPrefill, Ms{239}, 7},
      {"objective passed", 0, kShortPrefill, Ms{0}, 7},
      {"objective passed long ago", 0, kShortPrefill, kMin, 7},
      {"absurd time left", 0, kLongPrefill, kMax, 4},
      {"second operator's priority, short", 1, kShortPrefill, Ms{5000}, 1},
      {"second operator's priority, long", 1, kLongPrefill, Ms{5000}, 5},
      {"second operator's priority, late", 1, kShortPrefill, Ms{0}, 8},
      {"short without time", 0, kShortPrefill, std::nullopt, 0},
      {"long without time", 0, kLongPrefill, std::nullopt, 1},
      {"short without time, third", 2, kShortPrefill, std::nullopt, 2},
      {"long without time, third", 2, kLongPrefill, std::nullopt, 3},
      {"long without time, least urgent", 9, kLongPrefill, std::nullopt, 4},
      {"operator's priority above the usual", 9, kShortPrefill, Ms{5000}, 3},
      {"operator's priority above the usual, late", 9, kShortPrefill, Ms{0}, 9},
      {"negative operator's priority", -3, kShortPrefill, Ms{5000}, 0},
      {"absurd operator's priority", std::numeric_limits<int>::max(),
       kLongPrefill, Ms{5000}, 6},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    const DispatchCall call =
        MakeCall(row.operator_priority, row.prefill, row.time_left);
    CHECK(DispatchPriority(call) == row.priority);
  }
}

TEST_CASE("a prompt is long by what is typical and by the objective") {
  struct Row {
    const char* what;
    Ms prefill;
    Ms typical;
    Ms objective;
    bool is_long;
  };
  const Row rows[] = {
      {"typical", Ms{20}, Ms{20}, Ms{400}, false},
      {"twice the typical", Ms{40}, Ms{20}, Ms{0}, false},
      {"four times the typical", Ms{80}, Ms{20}, Ms{400}, true},
      {"four times the typical, but not noticeable", Ms{80}, Ms{20}, Ms{800},
       false},
      {"all are long", Ms{200}, Ms{200}, Ms{400}, false},
      {"typical not known", Ms{200}, Ms{0}, Ms{400}, true},
      {"nothing known", Ms{200}, Ms{0}, Ms{0}, false},
      {"negative estimates", Ms{-200}, Ms{-20}, Ms{-400}, false},
      {"absurd estimates", kMax, kMax, kMax, false},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    DispatchCall call = MakeCall(0, row.prefill, Ms{5000});
    call.typical_prefill = row.typical;
    call.first_part_objective = row.objective;
    CHECK(HasLongPrompt(call) == row.is_long);
  }
}

TEST_CASE("a long prompt is deferred by the time with the present load") {
  DispatchCall call = MakeCall(0, kLongPrefill, Ms{2000});
  CHECK(DispatchStateOf(call) == DispatchState::kDeferred);
  call.expected = Ms{900};
  CHECK(DispatchStateOf(call) == DispatchState::kPrompt);
  // A busy engine alone makes no program late.
  call.expected = kMax;
  CHECK(DispatchStateOf(call) == DispatchState::kPrompt);
  call.alone = Ms{2600};
  CHECK(DispatchStateOf(call) == DispatchState::kLate);
  // Without estimates, only an objective that has passed makes it late.
  call.alone = call.expected = kMin;
  CHECK(DispatchStateOf(call) == DispatchState::kDeferred);
  call.time_left = Ms{1};
  CHECK(DispatchStateOf(call) == DispatchState::kPrompt);
  call.time_left = Ms{-1};
  CHECK(DispatchStateOf(call) == DispatchState::kLate);
}

// Guards against an order of states that an operator's priority can undo, and
// against one of operators that is inverted within a state.
TEST_CASE("states come first, operators' priorities next") {
  const Ms lefts[] = {Ms{0}, Ms{239}, Ms{600}, Ms{1199}, Ms{5000}};
  for (const Ms left : lefts) {
    for (const Ms prefill : {kShortPrefill, kLongPrefill}) {
      for (const Ms other_left : lefts) {
        for (const Ms other_prefill : {kShortPrefill, kLongPrefill}) {
          for (int mine = 0; mine <= 4; ++mine) {
            for (int other = 0; other <= 4; ++other) {
              const DispatchCall a = MakeCall(mine, prefill, left);
              const DispatchCall b = MakeCall(other, other_prefill, other_left);
              const DispatchState state = DispatchStateOf(a);
              if (state < DispatchStateOf(b)) {
                CHECK(DispatchPriority(a) < DispatchPriority(b));
              }
              if (state == DispatchStateOf(b) && mine <= other) {
                CHECK(DispatchPriority(a) <= DispatchPriority(b));
              }
            }
          }
        }
      }
    }
  }
}

}  // namespace
}  // namespace knapweed
