// Simulates fleets of gateways before one upstream that states a limit, with
// faults of the gateways, their network and the store.
#include <doctest/doctest.h>

#include <cstdlib>

#include "tests/send_limit_fleet.h"

namespace knapweed::testing {
namespace {

struct Case {
  const char* what;
  FleetScenario scenario;
  // Least use of the limit, relative to it.
  double least_used;
};

// Uses of the limit below one are lost while a home is replaced: 2 s at 0.4 for
// each death, of each 7 s.
const Case kCases[] = {
    {"calm", {.fault = FleetFault::kNone}, 0.95},
    {"calm, slow upstream", {.limit_per_s = 0.5}, 0.9},
    {"calm, limit of zero", {.limit_per_s = 0.01, .demand = 500}, 0},
    {"calm, fast upstream", {.limit_per_s = 60}, 0.95},
    {"calm, little demand", {.demand = 0.7}, 0.5},
    {"calm, 84 gateways", {.gateways = 84}, 0.9},
    {"calm, 380 gateways", {.gateways = 380}, 0.9},
    {"killed", {.fault = FleetFault::kKill}, 0.7},
    {"killed, 84 gateways",
     {.gateways = 84, .fault = FleetFault::kKill, .share = 0.6},
     0.6},
    {"power lost", {.fault = FleetFault::kPowerLoss}, 0.6},
    {"power lost, 380 gateways",
     {.gateways = 380, .fault = FleetFault::kPowerLoss},
     0.5},
    {"stopped in turn", {.fault = FleetFault::kRollingStop}, 0.8},
    {"stopped in turn, 84 gateways",
     {.gateways = 84, .fault = FleetFault::kRollingStop, .share = 0.05},
     0.8},
    {"frozen", {.fault = FleetFault::kFreeze}, 0.6},
    {"frozen, 84 gateways",
     {.gateways = 84, .fault = FleetFault::kFreeze},
     0.5},
    {"cut off", {.fault = FleetFault::kCut}, 0.6},
    {"cut off, 380 gateways",
     {.gateways = 380, .fault = FleetFault::kCut},
     0.5},
    {"slow", {.fault = FleetFault::kSlow}, 0.5},
    {"slow, fast upstream",
     {.limit_per_s = 60, .fault = FleetFault::kSlow},
     0.5},
    {"killed, slow upstream",
     {.limit_per_s = 0.5, .fault = FleetFault::kKill},
     0.5},
    {"slow, 84 gateways", {.gateways = 84, .fault = FleetFault::kSlow}, 0.5},
    {"store away, some killed",
     {.fault = FleetFault::kStoreAwayAndKill, .fault_interval{15000}},
     0.7},
    {"store away, most of 84 killed",
     {.gateways = 84,
      .fault = FleetFault::kStoreAwayAndKill,
      .share = 0.9,
      .fault_interval{15000}},
     0.5},
    {"added", {.fault = FleetFault::kGrow}, 0.9},
    {"added before an outage", {.fault = FleetFault::kGrowAndStoreAway}, 0.9},
    {"added before an outage, 84 gateways",
     {.gateways = 84, .fault = FleetFault::kGrowAndStoreAway},
     0.9},
    {"added, 84 gateways", {.gateways = 84, .fault = FleetFault::kGrow}, 0.9},
};

// Each of the added gateways may take itself for the home.
FleetScenario AddedBeforeOutage(Ms store_away_after) {
  return {.gateways = 4,
          .limit_per_s = 60,
          .is_demand_even = true,
          .fault = FleetFault::kGrowAndStoreAway,
          .added = 8,
          .store_away_after = store_away_after};
}

// The home is replaced only in part until it is no longer listed, so less of
// the bound is used. Other upstreams take the rest.
const Case kColdCases[] = {
    {"calm", {.fault = FleetFault::kNone}, 0.8},
    {"calm, slow upstream", {.limit_per_s = 0.5}, 0.7},
    {"calm, fast upstream", {.limit_per_s = 60}, 0.8},
    {"calm, 84 gateways", {.gateways = 84}, 0.7},
    {"calm, 380 gateways", {.gateways = 380}, 0.6},
    {"killed", {.fault = FleetFault::kKill}, 0.3},
    {"killed, fast upstream",
     {.limit_per_s = 60, .fault = FleetFault::kKill},
     0.3},
    {"killed, 84 gateways",
     {.gateways = 84, .fault = FleetFault::kKill, .share = 0.6},
     0.2},
    {"power lost", {.fault = FleetFault::kPowerLoss}, 0.2},
    {"power lost, fast upstream",
     {.limit_per_s = 60, .fault = FleetFault::kPowerLoss},
     0.2},
    {"stopped in turn", {.fault = FleetFault::kRollingStop}, 0.3},
    {"stopped in turn, fast upstream",
     {.limit_per_s = 60, .fault = FleetFault::kRollingStop},
     0.3},
    {"frozen, fast upstream",
     {.limit_per_s = 60, .fault = FleetFault::kFreeze},
     0.2},
    {"frozen, 84 gateways",
     {.gateways = 84, .fault = FleetFault::kFreeze},
     0.2},
    {"cut off", {.fault = FleetFault::kCut}, 0.2},
    {"cut off, fast upstream",
     {.limit_per_s = 60, .fault = FleetFault::kCut},
     0.2},
    {"slow, fast upstream",
     {.limit_per_s = 60, .fault = FleetFault::kSlow},
     0.2},
    {"slow, 84 gateways", {.gateways = 84, .fault = FleetFault::kSlow}, 0.2},
    {"store away, some killed",
     {.fault = FleetFault::kStoreAwayAndKill, .fault_interval{15000}},
     0.3},
    {"added before an outage, fast upstream",
     {.limit_per_s = 60, .fault = FleetFault::kGrowAndStoreAway},
     0.5},
    {"added, 84 gateways", {.gateways = 84, .fault = FleetFault::kGrow}, 0.5},
    {"8 added to 4, an outage 0.05 s later", AddedBeforeOutage(Ms{50}), 0.4},
    {"8 added to 4, an outage 0.15 s later", AddedBeforeOutage(Ms{150}), 0.4},
    {"8 added to 4, an outage 0.25 s later", AddedBeforeOutage(Ms{250}), 0.4},
    {"8 added to 4, an outage 0.4 s later", AddedBeforeOutage(Ms{400}), 0.4},
    {"8 added to 4, an outage 0.7 s later", AddedBeforeOutage(Ms{700}), 0.4},
};

// More seeds by hand: KNAPWEED_SEEDS=50.
uint64_t SeedCount() {
  const char* text = std::getenv("KNAPWEED_SEEDS");
  return text != nullptr ? std::strtoull(text, nullptr, 10) : 2;
}

}  // namespace

TEST_CASE("a fleet keeps to the bound of a cold upstream under faults") {
  for (const Case& row : kColdCases) {
    const std::string what = row.what;
    CAPTURE(what);
    for (uint64_t seed = 1; seed <= SeedCount(); ++seed) {
      CAPTURE(seed);
      FleetScenario scenario = row.scenario;
      scenario.is_cold = true;
      scenario.seed = seed;
      // Which of the added gateways come before the home differs by upstream.
      if (scenario.added > 0) scenario.upstream += std::to_string(seed);
      const FleetOutcome outcome = RunFleet(scenario);
      const double most = MostAllowed(scenario.limit_per_s, kColdWindow);
      MESSAGE("cold, " << what << " most " << outcome.most_in_window << " of "
                       << most << " used " << outcome.used);
      CHECK(outcome.most_in_window <= most);
      CHECK(outcome.used >= row.least_used);
    }
  }
}

TEST_CASE("a fleet keeps and uses the limit of an upstream under faults") {
  for (const Case& row : kCases) {
    const std::string what = row.what;
    CAPTURE(what);
    for (uint64_t seed = 1; seed <= SeedCount(); ++seed) {
      CAPTURE(seed);
      FleetScenario scenario = row.scenario;
      scenario.seed = seed;
      const FleetOutcome outcome = RunFleet(scenario);
      MESSAGE(what << " most " << outcome.most_in_window << " of "
                   << MostAllowed(scenario.limit_per_s) << " used "
                   << outcome.used << " still " << outcome.still_limited);
      CHECK(outcome.most_in_window <= MostAllowed(scenario.limit_per_s));
      CHECK(outcome.used >= row.least_used);
      CHECK(outcome.still_limited <= 1);
    }
  }
}

}  // namespace knapweed::testing
