// Tests of the admission of programs: rules as tables, and an overload that
// ends, played in a model of engines.
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "knapweed/policy/program_admission.h"
#include "knapweed/policy/service_speed.h"
#include "tests/engine_model.h"

namespace knapweed {
namespace {

ProgramArrival MakeArrival(double slowdown) {
  ProgramArrival arrival;
  arrival.slowdown = slowdown;
  arrival.expected_time = Ms{400};
  return arrival;
}

ProgramAdmission Decide(ProgramArrival arrival, double target) {
  arrival.target_slowdown = target;
  return DecideProgramStart(arrival);
}

TEST_CASE("the admitted share by slowdown, for a target of 2") {
  struct Row {
    const char* what;
    double slowdown;
    double probability;
  };
  const Row rows[] = {
      {"at rest", 1, 1},
      {"below the range", 1.4, 1},
      {"start of the range", 1.5, 1},
      {"below the target", 1.75, 0.75},
      {"at the target", 2, 0.5},
      {"above the target", 2.25, 0.25},
      {"end of the range", 2.5, 0},
      {"far above", 50, 0},
      {"infinite", std::numeric_limits<double>::infinity(), 0},
      {"zero", 0, 1},
      {"negative", -4, 1},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    ProgramArrival arrival = MakeArrival(row.slowdown);
    const ProgramAdmission decision = Decide(arrival, 2);
    CHECK(decision.probability == doctest::Approx(row.probability));
    CHECK(decision.admit == (row.probability > 0));
    arrival.random_unit = 0.9999;
    CHECK(Decide(arrival, 2).admit == (row.probability == 1));
  }
}

TEST_CASE("the admitted share by the target") {
  for (const double target : {1.4, 1.6, 2.0, 2.7}) {
    CAPTURE(target);
    const auto at = [&](double part) {
      return Decide(MakeArrival(part * target), target).probability;
    };
    CHECK(at(0.7) == doctest::Approx(1));
    CHECK(at(1) == doctest::Approx(0.5));
    CHECK(at(1.3) == doctest::Approx(0));
  }
}

// Guards against callers that wait and are overtaken by new ones without end.
TEST_CASE("a program that has waited is admitted first at the same slowdown") {
  ProgramArrival waited = MakeArrival(0);
  waited.waited = Ms{300};
  // In the order in which they are admitted.
  ProgramArrival arrivals[] = {waited, MakeArrival(0)};
  for (double slowdown = 1; slowdown < 3.5; slowdown += 0.05) {
    CAPTURE(slowdown);
    double before = 1;
    for (ProgramArrival& arrival : arrivals) {
      arrival.slowdown = slowdown;
      const double share = Decide(arrival, 2).probability;
      CHECK(share <= before);
      if (before > 0 && before < 1) CHECK(share < before);
      before = share;
    }
  }
}

// Guards against callers that return at once, much too late, or all together.
TEST_CASE("Retry-After stays within its bounds") {
  struct Row {
    const char* what;
    double slowdown;
    Ms expected;
    Ms least;
    Ms most;
  };
  const Row rows[] = {
      {"not known", 3, Ms{0}, Ms{100}, Ms{100}},
      {"negative", 3, Ms{-5000}, Ms{100}, Ms{100}},
      {"short calls", 3, Ms{20}, Ms{100}, Ms{100}},
      {"usual calls", 3, Ms{400}, Ms{400}, Ms{600}},
      {"far above the target", 6, Ms{400}, Ms{1000}, Ms{1200}},
      {"long calls", 3, Ms{5000}, Ms{1500}, Ms{1500}},
      {"very far above", 1000, Ms{400}, Ms{1500}, Ms{1500}},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    ProgramArrival arrival = MakeArrival(row.slowdown);
    arrival.expected_time = row.expected;
    Ms least = Seconds(100);
    Ms most{0};
    for (int i = 0; i < 100; ++i) {
      arrival.random_unit = i / 100.0;
      const ProgramAdmission decision = Decide(arrival, 2);
      REQUIRE_FALSE(decision.admit);
      least = std::min(least, decision.retry_after);
      most = std::max(most, decision.retry_after);
    }
    CHECK(least == row.least);
    CHECK(most <= row.most);
    CHECK(most >= row.most - Ms{10});
  }
}

// Guards against a target that refuses programs which would end in time: it
// follows from the objectives that the programs themselves state.
TEST_CASE("the target follows from the objectives of programs") {
  struct Row {
    const char* what;
    int programs;
    int turns;
    Ms objective;
    double turn_ms;
    double target;
  };
  const Row rows[] = {
      {"a second a turn", 200, 4, Ms{4000}, 250, 3},
      {"shorter objectives", 200, 4, Ms{2000}, 250, 1.5},
      {"no time to spare", 200, 4, Ms{500}, 250, 1.3},
      {"much time to spare", 200, 4, Ms{60000}, 250, 8},
      {"few programs", 2, 4, Ms{4000}, 250, 3},
      {"unknown time of a turn", 200, 4, Ms{2000}, 0, 3},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    ProgramPace pace;
    for (int i = 0; i < row.programs * row.turns; ++i) {
      const bool begins = i % row.turns == 0;
      RecordTurn(pace, begins, begins ? row.objective : Ms{-100});
    }
    CHECK(TargetSlowdown(pace, row.turn_ms) ==
          doctest::Approx(row.target).epsilon(0.02));
  }
}

TEST_CASE("an admitted program has no Retry-After") {
  CHECK(Decide(MakeArrival(1), 2).retry_after == Ms{0});
  CHECK(Decide(MakeArrival(2), 2).retry_after == Ms{0});
}

/// Engines of the fleet under a load of programs that
/// is twice what they can end for a while. A program that is refused comes back
/// when it was told to, until its caller gives up.
struct Overload {
  size_t engines = 3;
  /// About 39 programs per s are what the engines can end.
  double programs_per_s = 10;
  double burst_per_s = 80;
  double burst_at_ms = 15000;
  double burst_ends_ms = 25000;
  double ends_ms = 45000;
  double patience_ms = 3000;
  double target_slowdown = 2;
};

struct AdmittedProgram {
  LoadProgram load;
  double alone_ms = 0;
  double admitted_ms = -1;
  double ended_ms = 0;
  size_t turn = 0;
  bool refused = false;
};

/// Plays an overload with one gateway that sends each turn to the engine with
/// the fewest calls.
class OverloadPlayer {
 public:
  OverloadPlayer(const Overload& overload, uint64_t seed, bool admission)
      : overload_(overload),
        admission_(admission),
        engines_(overload.engines, {EngineModel(spec_), 0}),
        random_(seed) {
    AddLoad(overload.programs_per_s, 0, overload.ends_ms, seed);
    AddLoad(overload.burst_per_s - overload.programs_per_s,
            overload.burst_at_ms, overload.burst_ends_ms, seed + 1000);
  }

  std::vector<AdmittedProgram> Play() {
    for (double now_ms = 0; !events_.empty() || in_flight_ > 0; ++now_ms) {
      for (Engine& engine : engines_) Advance(engine, now_ms);
      while (!events_.empty() && events_.top().first <= now_ms) {
        const size_t number = events_.top().second;
        events_.pop();
        Arrive(number, now_ms);
      }
    }
    return std::move(programs_);
  }

 private:
  using Event = std::pair<double, size_t>;
  struct Engine {
    EngineModel model;
    /// Calls that generate tokens.
    int decoding = 0;
  };

  static Ms ToMs(double ms) { return Ms{std::llround(ms)}; }

  void AddLoad(double per_s, double from_ms, double to_ms, uint64_t seed) {
    LoadSpec spec;
    spec.programs_per_s = per_s;
    spec.span_ms = to_ms - from_ms;
    spec.long_share = 0;
    for (LoadProgram& load : MakeLoad(spec, seed)) {
      AdmittedProgram program;
      load.at_ms += from_ms;
      for (const LoadTurn& it : load.turns) {
        program.alone_ms += AloneMs(spec_, it.unread_tokens, it.output_tokens);
      }
      events_.emplace(load.at_ms, programs_.size());
      program.load = std::move(load);
      programs_.push_back(std::move(program));
    }
  }

  /// Runs steps, each of which is the time between two tokens of the calls that
  /// generate tokens.
  void Advance(Engine& engine, double until_ms) {
    EngineModel& model = engine.model;
    while (!model.idle() && model.now_ms() < until_ms) {
      const double before_ms = model.now_ms();
      model.Step();
      if (engine.decoding > 0) {
        AddSample(speed_.unit_ms, model.now_ms() - before_ms,
                  ToMs(model.now_ms()));
      }
      for (const EngineModelResult& it : model.TakeFirst()) {
        ++engine.decoding;
        RecordFirst(it);
      }
      for (const EngineModelResult& it : model.TakeEnded()) {
        --engine.decoding;
        End(it);
      }
    }
  }

  WaitingCalls WaitingAt(double now_ms) const {
    WaitingCalls waiting;
    double sum_ms = 0;
    for (const auto& [number, sent_ms] : waiting_) sum_ms += now_ms - sent_ms;
    waiting.count = static_cast<uint32_t>(waiting_.size());
    if (waiting.count > 0) waiting.mean_age = ToMs(sum_ms / waiting.count);
    return waiting;
  }

  void Arrive(size_t number, double now_ms) {
    AdmittedProgram& program = programs_[number];
    if (program.turn == 0 && admission_ && !Admit(program, now_ms)) return;
    if (program.turn == 0) program.admitted_ms = now_ms;
    Send(number, now_ms);
  }

  bool Admit(AdmittedProgram& program, double now_ms) {
    const Ms now = ToMs(now_ms);
    ProgramArrival arrival;
    arrival.slowdown = SlowdownOf(speed_, WaitingAt(now_ms), now);
    arrival.expected_time =
        ToMs(RecentAt(speed_.wait_ms, now) +
             speed_.mean_output_tokens * RecentAt(speed_.unit_ms, now));
    arrival.waited = ToMs(now_ms - program.load.at_ms);
    arrival.random_unit = std::uniform_real_distribution<double>(0, 1)(random_);
    const ProgramAdmission decision =
        Decide(arrival, overload_.target_slowdown);
    if (decision.admit) return true;
    program.refused = true;
    const double again_ms =
        now_ms + static_cast<double>(decision.retry_after.count);
    const auto number = static_cast<size_t>(&program - programs_.data());
    if (again_ms - program.load.at_ms <= overload_.patience_ms) {
      events_.emplace(again_ms, number);
    }
    return false;
  }

  void Send(size_t number, double now_ms) {
    const AdmittedProgram& program = programs_[number];
    const LoadTurn& turn = program.load.turns[program.turn];
    const auto engine = std::min_element(
        engines_.begin(), engines_.end(), [](const Engine& a, const Engine& b) {
          return a.model.Load().calls < b.model.Load().calls;
        });
    REQUIRE(engine->model.Send(
        {number, 5, 0, turn.unread_tokens, turn.output_tokens}, now_ms));
    waiting_[number] = now_ms;
    ++in_flight_;
  }

  void RecordFirst(const EngineModelResult& result) {
    const AdmittedProgram& program = programs_[result.id];
    const LoadTurn& turn = program.load.turns[program.turn];
    waiting_.erase(result.id);
    RecordFirstEvent(
        speed_, {turn.unread_tokens, ToMs(result.first_ms - result.sent_ms)},
        ToMs(result.first_ms));
  }

  void End(const EngineModelResult& result) {
    AdmittedProgram& program = programs_[result.id];
    const auto output =
        static_cast<double>(program.load.turns[program.turn].output_tokens);
    RecordOutput(speed_, output);
    --in_flight_;
    program.ended_ms = result.ended_ms;
    ++program.turn;
    if (program.turn < program.load.turns.size()) {
      events_.emplace(result.ended_ms, result.id);
    }
  }

  Overload overload_;
  bool admission_;
  EngineSpec spec_;
  std::vector<Engine> engines_;
  std::mt19937_64 random_;
  ServiceSpeed speed_;
  std::vector<AdmittedProgram> programs_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  /// When the calls without a first event were sent.
  std::map<size_t, double> waiting_;
  int in_flight_ = 0;
};

struct Span {
  double from_ms = 0;
  double to_ms = 0;
};

/// Programs that arrived within a span: how many there were, were admitted,
/// were admitted on their first try, and ended within the objective.
struct ProgramCount {
  int all = 0;
  int admitted = 0;
  int at_once = 0;
  int in_time = 0;
};

ProgramCount CountPrograms(const std::vector<AdmittedProgram>& programs,
                           Span span) {
  // The objective of the fleet, from a program's first try.
  constexpr double kObjectiveFactor = 2.7;
  constexpr double kObjectivePlusMs = 500;
  ProgramCount count;
  for (const AdmittedProgram& it : programs) {
    if (it.load.at_ms < span.from_ms || it.load.at_ms >= span.to_ms) continue;
    ++count.all;
    if (!it.refused) ++count.at_once;
    if (it.admitted_ms < 0) continue;
    ++count.admitted;
    const double objective_ms =
        kObjectiveFactor * it.alone_ms + kObjectivePlusMs;
    if (it.ended_ms <= it.load.at_ms + objective_ms) ++count.in_time;
  }
  return count;
}

/// Returns the longest time of an admitted program, as a multiple of its time
/// alone.
double MaxMultiple(const std::vector<AdmittedProgram>& programs) {
  double most = 0;
  for (const AdmittedProgram& it : programs) {
    if (it.admitted_ms < 0) continue;
    most = std::max(most, (it.ended_ms - it.admitted_ms) / it.alone_ms);
  }
  return most;
}

constexpr uint64_t kSeeds[] = {1, 2, 3, 4, 5, 6};

// Guards against an overload in which all programs run slowly and all end late,
// also those that arrive long after it, and against an admission that still
// refuses programs when it is over.
TEST_CASE("an overload that ends leaves admitted programs in time") {
  struct Row {
    double target;
    double programs_per_s;
    // Programs that arrive 5 s after the burst and later and are admitted on
    // their first try. The other rows have no objective for it.
    double least_at_once;
  };
  // 10 programs per s are the fleet's load for each engine.
  const Row rows[] = {{2, 10, 0.98}, {2, 18, 0}, {1.6, 10, 0}};
  for (const Row& row : rows) {
    for (const uint64_t seed : kSeeds) {
      CAPTURE(row.target);
      CAPTURE(row.programs_per_s);
      CAPTURE(seed);
      Overload overload;
      overload.programs_per_s = row.programs_per_s;
      overload.target_slowdown = row.target;
      const auto without = OverloadPlayer(overload, seed, false).Play();
      const auto played = OverloadPlayer(overload, seed, true).Play();
      // Programs are admitted up to 1.4 times the target. The rest is for what
      // is admitted before the slowdown shows.
      CHECK(MaxMultiple(played) <= 2 * row.target);
      const Span burst{overload.burst_at_ms, overload.burst_ends_ms};
      const ProgramCount during = CountPrograms(played, burst);
      // The burst is twice what the engines can end.
      CHECK(during.admitted >= 0.4 * during.all);
      CHECK(during.in_time >= 5 * CountPrograms(without, burst).in_time);
      const Span later{overload.burst_ends_ms + 5000, overload.ends_ms};
      const ProgramCount after = CountPrograms(played, later);
      CHECK(after.admitted == after.all);
      CHECK(after.in_time >= 0.99 * after.all);
      CHECK(after.at_once >= row.least_at_once * after.all);
      // The load is one from which engines recover slowly by themselves.
      const ProgramCount late = CountPrograms(without, later);
      CHECK(late.in_time < 0.7 * late.all);
    }
  }
}

}  // namespace
}  // namespace knapweed
