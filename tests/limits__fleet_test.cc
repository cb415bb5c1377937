#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "tests/fleet_walk.h"

namespace knapweed {
namespace {

TEST_CASE("no window exceeds rate and burst under owner faults") {
  struct Row {
    std::string name;
    FleetWalk::Plan faults;
  };
  const std::vector<Row> rows = {
      {"no fault", {}},
      {"bursts", {.burst_period = Seconds(5)}},
      {"bursts and delays", {.burst_period = Seconds(5), .delays = true}},
      {"crashes", {.crash = 0.1}},
      {"pauses", {.pause = 0.1}},
      {"handovers", {.hand_over = 0.3}},
      {"lost messages", {.lost_message = 50}},
      {"delays", {.delays = true}},
      {"all faults",
       {.crash = 0.05,
        .hand_over = 0.2,
        .pause = 0.05,
        .lost_message = 20,
        .delays = true}},
  };
  const std::vector<RateLimit> limits = {
      {20, 40}, {2.5, 5}, {1, 1}, {50, 10}, {200, 400}};
  for (const Row& row : rows) {
    for (const RateLimit& limit : limits) {
      for (uint64_t seed = 1; seed <= 3; ++seed) {
        CAPTURE(row.name);
        CAPTURE(limit.rate_per_s);
        CAPTURE(limit.burst);
        CAPTURE(seed);
        FleetWalk::Plan plan = row.faults;
        plan.limit = limit;
        plan.clients = 1 + static_cast<int>(seed);
        plan.offered_per_s = 5 * limit.rate_per_s * plan.clients;
        FleetWalk walk(plan, seed);
        walk.Run();
        CHECK(walk.WorstExcess() <= 0);
        CHECK(walk.admitted() > 0);
        if (plan.crash > 0 || plan.pause > 0) CHECK(walk.owners() > 1);
      }
    }
  }
}

TEST_CASE("no call is refused at 90% of the rate") {
  const std::vector<RateLimit> limits = {{20, 40}, {50, 100}, {200, 400}};
  for (const RateLimit& limit : limits) {
    for (int clients : {1, 3, 30}) {
      for (uint64_t seed = 1; seed <= 3; ++seed) {
        CAPTURE(limit.rate_per_s);
        CAPTURE(clients);
        CAPTURE(seed);
        FleetWalk::Plan plan;
        plan.limit = limit;
        plan.clients = clients;
        plan.offered_per_s = 0.9 * limit.rate_per_s;
        plan.length = Seconds(300);
        FleetWalk walk(plan, seed);
        walk.Run();
        CHECK(walk.refused() == 0);
        CHECK(walk.WorstExcess() <= 0);
      }
    }
  }
}

}  // namespace
}  // namespace knapweed
