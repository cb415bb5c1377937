// Tests of the priority that a call is sent with: rules as tables, and loads
// played in a model of an engine.
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <iterator>
#include <limits>
#include <optional>
#include <queue>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "knapweed/policy/dispatch_order.h"
#include "tests/engine_model.h"

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
  std::vector<DispatchCall> calls;
  for (const Ms left : {Ms{0}, Ms{239}, Ms{600}, Ms{1199}, Ms{5000}}) {
    for (int operator_priority = 0; operator_priority <= 4;
         ++operator_priority) {
      calls.push_back(MakeCall(operator_priority, kShortPrefill, left));
      calls.push_back(MakeCall(operator_priority, kLongPrefill, left));
    }
  }
  for (const DispatchCall& a : calls) {
    for (const DispatchCall& b : calls) {
      const DispatchState state = DispatchStateOf(a);
      const DispatchState other = DispatchStateOf(b);
      const bool is_as_urgent = a.operator_priority <= b.operator_priority;
      if (state < other) CHECK(DispatchPriority(a) < DispatchPriority(b));
      if (state == other && is_as_urgent) {
        CHECK(DispatchPriority(a) <= DispatchPriority(b));
      }
    }
  }
}

/// The priority that calls are sent with.
enum class Order : uint8_t {
  /// The same for all.
  kArrival,
  /// The operator's, as without a dispatch order.
  kOperator,
  kDispatch,
};

/// The time that callers accept: for the first part of an answer and for a
/// program, a multiple of its time on an idle engine and a constant. If
/// `per_token_ms` is set, a program's is the sum over its turns of the first
/// part's and this time for each token instead.
struct Objective {
  double factor = 2.5;
  double plus_ms = 250;
  double per_token_ms = 0;

  double Of(double alone_ms) const { return factor * alone_ms + plus_ms; }
};

struct Scenario {
  EngineSpec engine;
  LoadSpec load;
  Objective objective;
  /// Number of operators' priorities, which programs take in turn.
  int operators = 1;
};

double ProgramObjectiveMs(const Scenario& scenario,
                          std::span<const LoadTurn> turns) {
  const Objective& objective = scenario.objective;
  double alone_ms = 0;
  double by_token_ms = 0;
  for (const LoadTurn& it : turns) {
    alone_ms += AloneMs(scenario.engine, it.unread_tokens, it.output_tokens);
    by_token_ms +=
        objective.Of(FirstAloneMs(scenario.engine, it.unread_tokens)) +
        objective.per_token_ms * static_cast<double>(it.output_tokens);
  }
  return objective.per_token_ms > 0 ? by_token_ms : objective.Of(alone_ms);
}

/// A program under way.
struct PlayedProgram {
  LoadProgram load;
  int operator_priority = 0;
  double objective_ms = 0;
  size_t turn = 0;
  double ended_ms = 0;
  bool InTime() const { return ended_ms <= load.at_ms + objective_ms; }
};

/// Turns of one kind: those whose first part came within its objective, and
/// the greatest wait for it as a multiple of the time on an idle engine.
struct TurnCount {
  int turns = 0;
  int in_time = 0;
  double max_multiple = 0;
  double Share() const { return static_cast<double>(in_time) / turns; }
};

struct Played {
  std::vector<PlayedProgram> programs;
  TurnCount short_turns;
  TurnCount long_turns;
  int preemptions = 0;
  double ended_ms = 0;
};

/// Plays a load on one engine.
class Player {
 public:
  Player(const Scenario& scenario, uint64_t seed, Order order)
      : scenario_(scenario), order_(order), engine_(scenario.engine) {
    for (LoadProgram& it : MakeLoad(scenario.load, seed)) {
      const size_t number = played_.programs.size();
      PlayedProgram program;
      program.load = std::move(it);
      program.objective_ms = ProgramObjectiveMs(scenario, program.load.turns);
      program.operator_priority = static_cast<int>(number) % scenario.operators;
      arrivals_.push({program.load.at_ms, number});
      played_.programs.push_back(std::move(program));
    }
  }

  Played Play() {
    while (!arrivals_.empty() || !engine_.idle()) {
      const bool step =
          !engine_.idle() &&
          (arrivals_.empty() || engine_.now_ms() < arrivals_.top().first);
      if (step) {
        engine_.Step();
        for (const EngineModelResult& it : engine_.TakeEnded()) End(it);
      } else {
        const auto [at_ms, number] = arrivals_.top();
        arrivals_.pop();
        Send(number, at_ms);
      }
    }
    played_.preemptions = engine_.preemptions();
    played_.ended_ms = engine_.now_ms();
    return std::move(played_);
  }

 private:
  using Arrival = std::pair<double, size_t>;

  static Ms ToMs(double ms) { return Ms{std::llround(ms)}; }

  int PriorityOf(const PlayedProgram& program, double at_ms) const {
    if (order_ == Order::kArrival) return 0;
    if (order_ == Order::kOperator) return program.operator_priority;
    constexpr uint64_t kTypicalTokens = 750;
    const EngineSpec& spec = scenario_.engine;
    const LoadTurn& turn = program.load.turns[program.turn];
    const double alone_ms =
        AloneMs(spec, turn.unread_tokens, turn.output_tokens);
    const double ahead_ms =
        static_cast<double>(engine_.Load().pending_prefill_tokens) /
        spec.prefill_tokens_per_ms;
    const double typical_ms = FirstAloneMs(spec, kTypicalTokens);
    DispatchCall call;
    call.operator_priority = program.operator_priority;
    call.time_left = ToMs(program.load.at_ms + program.objective_ms - at_ms);
    call.alone = ToMs(alone_ms);
    call.expected = ToMs(alone_ms + ahead_ms);
    call.prefill = ToMs(FirstAloneMs(spec, turn.unread_tokens));
    call.typical_prefill = ToMs(typical_ms);
    call.first_part_objective = ToMs(scenario_.objective.Of(typical_ms));
    return DispatchPriority(call);
  }

  void Send(size_t number, double at_ms) {
    const PlayedProgram& program = played_.programs[number];
    const LoadTurn& turn = program.load.turns[program.turn];
    EngineModelCall call;
    call.id = number;
    call.priority = PriorityOf(program, at_ms);
    call.unread_tokens = turn.unread_tokens;
    call.output_tokens = turn.output_tokens;
    REQUIRE(engine_.Send(call, at_ms));
  }

  void End(const EngineModelResult& result) {
    PlayedProgram& program = played_.programs[result.id];
    const LoadTurn& turn = program.load.turns[program.turn];
    const double alone_ms = FirstAloneMs(scenario_.engine, turn.unread_tokens);
    const double first_ms = result.first_ms - result.sent_ms;
    TurnCount& count = turn.is_long ? played_.long_turns : played_.short_turns;
    ++count.turns;
    if (first_ms <= scenario_.objective.Of(alone_ms)) ++count.in_time;
    count.max_multiple = std::max(count.max_multiple, first_ms / alone_ms);
    program.ended_ms = result.ended_ms;
    ++program.turn;
    if (program.turn < program.load.turns.size()) {
      arrivals_.push({result.ended_ms, result.id});
    }
  }

  Scenario scenario_;
  Order order_;
  EngineModel engine_;
  std::priority_queue<Arrival, std::vector<Arrival>, std::greater<>> arrivals_;
  Played played_;
};

double ShareInTime(const Played& played) {
  const auto in_time =
      std::count_if(played.programs.begin(), played.programs.end(),
                    [](const PlayedProgram& it) { return it.InTime(); });
  return static_cast<double>(in_time) /
         static_cast<double>(played.programs.size());
}

bool AllEnded(const Played& played) {
  return std::all_of(
      played.programs.begin(), played.programs.end(),
      [](const PlayedProgram& it) { return it.turn == it.load.turns.size(); });
}

constexpr uint64_t kSeeds[] = {1, 2, 3, 4, 5, 6};

/// An engine with many slots and long prompts beside short ones. A
/// program may take 31 ms for each token.
Scenario LongBesideShort(double programs_per_s, int operators) {
  Scenario scenario;
  scenario.load.programs_per_s = programs_per_s;
  scenario.load.span_ms = 60000;
  scenario.objective.per_token_ms = 31;
  scenario.operators = operators;
  return scenario;
}

/// An engine that is short of slots.
Scenario Overload(double programs_per_s) {
  Scenario scenario;
  scenario.engine = {12, 154238, 5.85, 61.2, 1024};
  scenario.load.programs_per_s = programs_per_s;
  scenario.load.turns = 4;
  scenario.load.span_ms = 30000;
  scenario.load.min_output_tokens = 60;
  scenario.load.max_output_tokens = 120;
  return scenario;
}

// Guards against long prompts that hold up short ones, and against long ones
// that wait without end behind short ones.
TEST_CASE("long and short prompts meet their objectives on one engine") {
  struct Row {
    double programs_per_s;
    int operators;
    double least_short;
    double least_long;
  };
  // The objectives: 99 in 100 short and 95 in 100 long, 90 near saturation.
  const Row rows[] = {
      {5.5, 1, 0.99, 0.95},
      {6.0, 1, 0.99, 0.90},
      {5.5, 2, 0.99, 0.95},
  };
  constexpr double kMaxLongMultiple = 7;
  for (const Row& row : rows) {
    const Scenario scenario =
        LongBesideShort(row.programs_per_s, row.operators);
    int missed_by_arrival = 0;
    int missed_by_operator = 0;
    for (const uint64_t seed : kSeeds) {
      CAPTURE(row.programs_per_s);
      CAPTURE(row.operators);
      CAPTURE(seed);
      const Played arrival = Player(scenario, seed, Order::kArrival).Play();
      const Played today = Player(scenario, seed, Order::kOperator).Play();
      const Played played = Player(scenario, seed, Order::kDispatch).Play();
      if (arrival.short_turns.Share() < row.least_short) ++missed_by_arrival;
      if (today.short_turns.Share() < row.least_short) ++missed_by_operator;
      CHECK(played.short_turns.Share() >= row.least_short);
      CHECK(played.long_turns.Share() >= row.least_long);
      CHECK(played.long_turns.max_multiple <= kMaxLongMultiple);
      CHECK(ShareInTime(played) >= ShareInTime(today));
    }
    // The load is one that the other orders don't serve.
    CHECK(missed_by_arrival == std::size(kSeeds));
    CHECK(missed_by_operator == std::size(kSeeds));
  }
}

// Guards against an order that lets fewer programs end in time than another
// would, and against late ones that never end.
TEST_CASE("an overload that stays leaves those in time that can make it") {
  for (const uint64_t seed : kSeeds) {
    CAPTURE(seed);
    const Scenario scenario = Overload(5);
    const Played today = Player(scenario, seed, Order::kOperator).Play();
    const Played played = Player(scenario, seed, Order::kDispatch).Play();
    CHECK(ShareInTime(played) >= 1.25 * ShareInTime(today));
    CHECK(AllEnded(played));
    // The order takes no more of the engine's time.
    CHECK(played.ended_ms <= 1.1 * today.ended_ms);
  }
}

// Without long prompts, only the state of late programs makes a difference. It
// is a small one: a program is known to be late only by its present turn.
TEST_CASE("in an overload of short prompts, late programs go last") {
  double sum_today = 0;
  double sum_played = 0;
  for (const uint64_t seed : kSeeds) {
    CAPTURE(seed);
    Scenario scenario = Overload(7);
    scenario.load.long_share = 0;
    const Played today = Player(scenario, seed, Order::kOperator).Play();
    const Played played = Player(scenario, seed, Order::kDispatch).Play();
    CHECK(ShareInTime(played) >= ShareInTime(today));
    CHECK(AllEnded(played));
    sum_today += ShareInTime(today);
    sum_played += ShareInTime(played);
  }
  CHECK(sum_played > sum_today);
}

// Guards against an order that makes an engine with little memory preempt more
// than now and then.
TEST_CASE("an engine with little memory rarely preempts and ends all") {
  constexpr double kMaxPreemptedShare = 0.01;
  for (const uint64_t seed : kSeeds) {
    CAPTURE(seed);
    Scenario scenario = LongBesideShort(5, 2);
    scenario.engine.memory_tokens = 24000;
    const Played played = Player(scenario, seed, Order::kDispatch).Play();
    CHECK(AllEnded(played));
    CHECK(played.short_turns.Share() >= 0.99);
    CHECK(played.long_turns.Share() >= 0.90);
    const int turns = played.short_turns.turns + played.long_turns.turns;
    CHECK(played.preemptions <= kMaxPreemptedShare * turns);
  }
}

}  // namespace
}  // namespace knapweed
