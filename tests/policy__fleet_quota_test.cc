// Tests of the decisions on a workspace's rate across gateways, one call at a
// time. gateway__rate_load_test plays whole loads.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "knapweed/policy/fleet_quota.h"

namespace knapweed {
namespace {

// Rate 100, burst 100, window 5 s: the limit is 600, and 680 are tolerated.
QuotaInput InputAtRate100() {
  QuotaInput input;
  input.rate_per_s = 100;
  input.burst = 100;
  input.gateways = 5;
  input.calls_per_program = 10;
  return input;
}

TEST_CASE("DecideQuota by use of the limit and age of the counts") {
  struct Row {
    const char* what;
    double own;
    double others;
    // Calls a second that arrive at the others, and that they admitted.
    double others_demand;
    double others_admitted;
    double admitted_since_update;
    Ms others_age;
    QuotaDecision decision;
  };
  constexpr auto kAllow = QuotaDecision::kAllow;
  constexpr auto kShare = QuotaDecision::kFromShare;
  constexpr auto kRefuse = QuotaDecision::kRefuse;
  const Row rows[] = {
      {"idle", 0, 0, 0, 0, 0, Ms{0}, kAllow},
      {"low use", 50, 250, 60, 60, 5, Ms{0}, kAllow},
      {"above its part of the room", 50, 250, 60, 60, 200, Ms{0}, kShare},
      {"near the limit", 100, 400, 80, 80, 5, Ms{0}, kAllow},
      {"over the limit, within what is tolerated", 100, 510, 30, 30, 2, Ms{0},
       kAllow},
      {"what the others admitted since may use the rest", 100, 510, 80, 80, 2,
       Ms{0}, kRefuse},
      {"the older the counts, the more they may have admitted", 100, 455, 80,
       80, 2, Ms{600}, kRefuse},
      {"the same counts when new", 100, 455, 80, 80, 2, Ms{0}, kAllow},
      {"in an overload the others admit about the rate", 100, 420, 900, 90, 2,
       Ms{0}, kRefuse},
      {"an overload with room left", 50, 300, 900, 90, 2, Ms{0}, kAllow},
      {"over what is tolerated", 170, 510, 0, 0, 0, Ms{0}, kRefuse},
      {"counts of the others out of date", 50, 100, 60, 60, 5, Ms{2501},
       kShare},
      {"out of date, half of the burst counts", 50, 500, 60, 60, 5, Ms{2501},
       kRefuse},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    QuotaInput input = InputAtRate100();
    input.own.calls = row.own;
    input.others.calls = row.others;
    input.others.demand_per_s = row.others_demand;
    input.others.admitted_per_s = row.others_admitted;
    input.demand_at_update_per_s = 20;
    input.admitted_since_update = row.admitted_since_update;
    input.others_age = row.others_age;
    CHECK(DecideQuota(input) == row.decision);
  }
}

TEST_CASE("the home starts programs while their calls fit") {
  struct Row {
    const char* what;
    double used;
    double begun;
    // Programs a second that ask to start; 10 a second fit into the rate.
    double demand;
    Ms waited;
    bool begins;
  };
  const Row rows[] = {
      {"low use", 100, 10, 6, Ms{0}, true},
      {"the burst and part of the tolerance serve a peak", 400, 61, 12, Ms{0},
       true},
      {"no room in a peak", 400, 62, 12, Ms{0}, false},
      {"only the rate counts in an overload", 400, 49, 40, Ms{0}, true},
      {"no room in an overload", 400, 50, 40, Ms{0}, false},
      {"refused before, no overload", 400, 40, 12, Ms{900}, true},
      {"refused before, overload", 400, 25, 40, Ms{900}, false},
      {"refused before, overload with much room", 400, 24, 40, Ms{900}, true},
      {"the rest is left to programs in progress", 551, 10, 12, Ms{0}, false},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    QuotaInput input = InputAtRate100();
    input.decides_for_all = true;
    input.own = {row.used / 5, 0, row.used / 25, 0, row.demand};
    input.others = {row.used * 4 / 5, 0, row.used * 4 / 25, 0, 0};
    input.begun = row.begun;
    input.waited = row.waited;
    CHECK(MayBegin(input) == row.begins);
  }
}

TEST_CASE("a gateway that can't ask the home starts its part of the programs") {
  struct Row {
    const char* what;
    double used;
    double begun;
    double begun_here;
    // Programs a second that ask to start, a fifth of them here.
    double demand;
    Ms waited;
    double rounding_offset;
    bool begins;
  };
  // 50 programs fit into the rate.
  const Row rows[] = {
      {"low use", 100, 70, 0, 10, Ms{0}, 0, true},
      {"low use, overload", 100, 70, 0, 25, Ms{0}, 0, false},
      {"room", 400, 35, 0, 25, Ms{0}, 0, true},
      {"no room", 400, 51, 0, 25, Ms{0}, 0.99, false},
      {"its part of the room is used up", 400, 35, 3, 25, Ms{0}, 0, false},
      {"room for one program in its part", 400, 35, 2, 25, Ms{0}, 0, true},
      {"a fraction of a program, rounded up", 400, 48, 0, 25, Ms{0}, 0.7, true},
      {"a fraction of a program, rounded down", 400, 48, 0, 25, Ms{0}, 0.5,
       false},
      {"refused before, overload", 400, 35, 0, 25, Ms{900}, 0, false},
      {"refused before, overload with much room", 400, 15, 0, 25, Ms{900}, 0,
       true},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    QuotaInput input = InputAtRate100();
    input.own = {row.used / 5, 0, row.used / 25, row.begun_here,
                 row.demand / 5};
    input.others = {row.used * 4 / 5, 0, row.used * 4 / 25, row.begun,
                    row.demand * 4 / 5};
    input.begun = row.begun + row.begun_here;
    input.begun_since_update = row.begun_here;
    input.waited = row.waited;
    input.rounding_offset = row.rounding_offset;
    CHECK(MayBegin(input) == row.begins);
  }
}

TEST_CASE("the shares of all gateways add up to the rate") {
  for (const double demand : {0.0, 10.0, 100.0, 1000.0}) {
    CAPTURE(demand);
    const double parts[] = {0.5, 0.3, 0.2, 0.0};
    double sum = 0;
    for (const double part : parts) {
      QuotaInput input;
      input.rate_per_s = 100;
      input.gateways = 4;
      input.own.demand_per_s = demand * part;
      input.others.demand_per_s = demand * (1 - part);
      sum += ShareOfRate(input);
    }
    CHECK(sum == doctest::Approx(100));
  }
}

// Guards against groups of gateways that can't ask each other and together use
// more than the rate, or leave most of it unused.
TEST_CASE("the parts of all groups of gateways add up to the rate") {
  struct Row {
    const char* what;
    double rate;
    std::vector<double> demand_per_s;
    std::vector<uint32_t> gateways;
  };
  const Row rows[] = {
      {"no demand", 20, {0, 0}, {3, 4}},
      {"below the rate", 20, {3, 9}, {1, 6}},
      {"above the rate", 20, {30, 90}, {1, 6}},
      {"all of it in one group", 20, {0, 90}, {6, 1}},
      {"three groups", 20, {5, 1, 7}, {1, 2, 3}},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    double sum = 0;
    for (size_t i = 0; i < row.gateways.size(); ++i) {
      KnownDemand known{0, 0, 0, 0};
      for (size_t j = 0; j < row.gateways.size(); ++j) {
        (i == j ? known.in_contact_per_s : known.silent_per_s) +=
            row.demand_per_s[j];
        (i == j ? known.gateways_in_contact : known.silent_gateways) +=
            row.gateways[j];
      }
      sum += PartInContact(row.rate, known);
    }
    CHECK(sum == doctest::Approx(1));
  }
}

}  // namespace
}  // namespace knapweed
