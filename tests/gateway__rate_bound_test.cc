// The bound on the calls of a workspace in any window, on random schedules, and
// what callers below the rate get.
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <string>

#include "knapweed/base/log.h"
#include "tests/rate_fleet.h"

namespace knapweed::gateway {
namespace {

/// Returns a plan whose limit tolerates so many calls in a window.
FleetPlan PlanOf(size_t gateways, double tolerated, CallPattern pattern) {
  const QuotaTolerance tolerance;
  const double limit =
      (tolerated - tolerance.slack_calls) / (1 + tolerance.over_share);
  FleetPlan plan;
  plan.gateways = gateways;
  plan.rate_per_s = limit / (tolerance.window.Seconds() + 1);
  plan.burst = plan.rate_per_s;
  plan.pattern = pattern;
  return plan;
}

/// Returns the number of seeds: by hand more are played.
uint32_t SeedsOr(uint32_t usual) {
  const char* text = std::getenv("KNAPWEED_SEEDS");
  return text == nullptr ? usual : static_cast<uint32_t>(std::atoi(text));
}

struct Sum {
  size_t most = 0;
  size_t tolerated = 0;
  int exceeded_seeds = 0;
  int calls = 0;
  int refused = 0;
  int asked = 0;
  /// Calls at the rate, over all seeds.
  double at_rate = 0;

  /// Returns the calls that were served, relative to the rate.
  double Served() const { return (calls - refused) / at_rate; }
};

Sum RunSeeds(const FleetPlan& plan, uint32_t seeds) {
  Sum sum;
  for (uint32_t seed = 1; seed <= seeds; ++seed) {
    const FleetOutcome one = RunFleet(plan, seed);
    const bool is_worst = one.most * sum.tolerated >= sum.most * one.tolerated;
    if (is_worst) {
      sum.most = one.most;
      sum.tolerated = one.tolerated;
    }
    if (one.exceeded > 0) ++sum.exceeded_seeds;
    sum.calls += one.calls;
    sum.refused += one.refused;
    sum.asked += one.asked;
    sum.at_rate += plan.rate_per_s * plan.duration.Seconds();
  }
  return sum;
}

struct Row {
  const char* what;
  size_t gateways = 0;
  /// The most calls that the platform tolerates in a window.
  double tolerated = 0;
  CallPattern pattern = CallPattern::kConstant;
  /// A third of the gateways is killed at this interval; zero for never.
  Ms kill_interval{0};
};

// Guards against a workspace that gets more than its rate because each gateway
// estimates what the others admit.
TEST_CASE("gateways together never admit more than is tolerated") {
  StartLog(LogLevel::kError);
  const Row rows[] = {
      {"constant", 4, 130, CallPattern::kConstant},
      {"constant", 30, 130, CallPattern::kConstant},
      {"constant", 84, 130, CallPattern::kConstant},
      {"constant", 30, 60, CallPattern::kConstant},
      {"rising", 30, 60, CallPattern::kRising},
      {"rising", 84, 130, CallPattern::kRising},
      {"pulses", 30, 60, CallPattern::kPulses},
      {"pulses", 30, 130, CallPattern::kPulses},
      {"moving", 30, 60, CallPattern::kMoving},
      {"moving", 30, 130, CallPattern::kMoving},
      {"constant, restarts", 30, 130, CallPattern::kConstant, Seconds(4)},
      {"constant, restarts", 30, 60, CallPattern::kConstant, Seconds(4)},
  };
  const uint32_t seeds = SeedsOr(30);
  for (const Row& row : rows) {
    FleetPlan plan = PlanOf(row.gateways, row.tolerated, row.pattern);
    plan.kill_interval = row.kill_interval;
    const Sum sum = RunSeeds(plan, seeds);
    const std::string what = row.what;
    MESSAGE(what << ", " << row.gateways << " gateways: at most " << sum.most
                 << " of " << sum.tolerated << ", served " << sum.Served()
                 << " of the rate");
    CHECK(sum.exceeded_seeds == 0);
    // The demand is six times the rate, so the rate itself is served.
    CHECK(sum.Served() >= 1);
  }
}

struct FaultRow {
  const char* what;
  FleetFaults faults;
  /// Calls served at least, relative to the rate.
  double least_served = 1;
};

// Guards against a permit that exists twice after a restart, a pause, a cut, a
// lost answer or a change of holders.
TEST_CASE("the bound holds on random schedules of faults") {
  StartLog(LogLevel::kError);
  const FaultRow rows[] = {
      {"restarts", {.restarts = true}},
      {"pauses", {.pauses = true}},
      {"cuts", {.cuts = true}},
      {"store", {.store = true}},
      {"messages", {.messages = true}},
      {"late returns", {.restarts = true, .messages = true}},
      {"silences", {.pauses = true, .cuts = true, .store = true}},
      {"additions", {.restarts = true, .additions = true}},
      {"limits", {.limits = true}},
      {"all", {true, true, true, true, true, true, true}, 0.8},
  };
  const uint32_t seeds = SeedsOr(40);
  for (const FaultRow& row : rows) {
    for (const size_t gateways : {size_t{3}, size_t{12}}) {
      FleetPlan plan = PlanOf(gateways, 60, CallPattern::kConstant);
      plan.duration = Seconds(200);
      plan.faults = row.faults;
      const Sum sum = RunSeeds(plan, seeds);
      const std::string what = row.what;
      MESSAGE(what << ", " << gateways << " gateways: at most " << sum.most
                   << " of " << sum.tolerated << ", served " << sum.Served()
                   << " of the rate");
      CHECK(sum.exceeded_seeds == 0);
      CHECK(sum.Served() >= row.least_served);
    }
  }
}

struct ServiceRow {
  size_t gateways = 0;
  double rate_per_s = 0;
};

// Guards against a bound that refuses callers below their rate.
TEST_CASE("calls below the rate are served wherever they arrive") {
  StartLog(LogLevel::kError);
  constexpr double kMaxRefused = 0.02;
  const ServiceRow rows[] = {
      {4, 6},   {30, 6},  {84, 6},   {133, 6}, {4, 20},
      {30, 20}, {84, 20}, {133, 20}, {30, 60}, {133, 60},
  };
  const uint32_t seeds = SeedsOr(4);
  for (const ServiceRow& row : rows) {
    FleetPlan plan;
    plan.gateways = row.gateways;
    plan.rate_per_s = row.rate_per_s;
    plan.burst = row.rate_per_s;
    plan.pattern = CallPattern::kMoving;
    plan.demand = 0.8;
    for (const bool with_counts : {false, true}) {
      plan.with_counts = with_counts;
      const Sum sum = RunSeeds(plan, seeds);
      MESSAGE(row.gateways << " gateways, rate " << row.rate_per_s
                           << std::string(with_counts ? ", counts first" : "")
                           << ": refused " << sum.refused << " of " << sum.calls
                           << ", asked " << sum.asked);
      CHECK(sum.refused <= kMaxRefused * sum.calls);
      CHECK(sum.exceeded_seeds == 0);
    }
  }
}

}  // namespace
}  // namespace knapweed::gateway
