#include <doctest/doctest.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "knapweed/policy/budget.h"
#include "knapweed/policy/engine_order.h"
#include "knapweed/policy/loop_detector.h"
#include "knapweed/policy/working_set.h"

namespace knapweed {
namespace {

TEST_CASE("a turn is reserved in the accounts of a program and its ancestors") {
  struct Row {
    std::string name;
    BudgetAccount child;
    BudgetAccount parent;
    bool granted;
    uint64_t tokens;
    Ms time_left;
  };
  const BudgetAccount none;
  const std::vector<Row> rows = {
      {"no limits", none, none, true, 500, Ms{0}},
      {"fewer tokens left", {200}, none, true, 200, Ms{0}},
      {"the parent has fewer",
       {400},
       {300, 0, Ms{0}, Ms{0}, 0, 150},
       true,
       150,
       Ms{0}},
      {"too few left", {99}, none, false, 0, Ms{0}},
      {"the parent's tokens are used up",
       {400},
       {300, 0, Ms{0}, Ms{0}, 300},
       false,
       0,
       Ms{0}},
      {"overdrawn", {300, 0, Ms{0}, Ms{0}, 900}, none, false, 0, Ms{0}},
      {"no turn left", {0, 3, Ms{0}, Ms{0}, 0, 0, 3}, none, false, 0, Ms{0}},
      {"time left",
       {0, 0, Ms{900}},
       {0, 0, Ms{500}, Ms{50}},
       true,
       500,
       Ms{450}},
      {"out of time", {0, 0, Ms{100}}, none, false, 0, Ms{0}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    BudgetAccount child = row.child;
    BudgetAccount parent = row.parent;
    BudgetAccount* const accounts[] = {&child, &parent};
    const BudgetGrant grant = ReserveTurn(accounts, 100, 500, Ms{100});
    CHECK(grant.granted == row.granted);
    CHECK(grant.tokens == row.tokens);
    CHECK(grant.time_left == row.time_left);
    CHECK(parent.tokens_reserved == row.parent.tokens_reserved + row.tokens);
    CHECK(parent.turns_used == row.parent.turns_used + (row.granted ? 1 : 0));
  }
}

TEST_CASE("settling replaces a reservation by the tokens used") {
  BudgetAccount account{1000, 2};
  BudgetAccount* const accounts[] = {&account};
  REQUIRE(ReserveTurn(accounts, 1, 600, Ms{0}).granted);
  CHECK(ReserveTurn(accounts, 1, 600, Ms{0}).tokens == 400);
  CHECK_FALSE(ReserveTurn(accounts, 1, 1, Ms{0}).granted);
  SettleTurn(accounts, 400, 0, false);
  SettleTurn(accounts, 600, 250, true);
  CHECK(account.tokens_used == 250);
  CHECK(account.tokens_reserved == 0);
  CHECK(account.turns_used == 1);
}

TEST_CASE("a program that repeats a cycle of turns is detected") {
  struct Row {
    std::string turns;
    size_t detected_at;
  };
  const std::vector<Row> rows = {
      {"abcdefgh", 99}, {"aaaa", 2},          {"aabbaabb", 99}, {"xababab", 6},
      {"abcabcabc", 8}, {"abcdabcdabcd", 11}, {"aabaa", 99}};
  for (const Row& row : rows) {
    CAPTURE(row.turns);
    LoopDetector detector;
    size_t detected_at = 99;
    for (size_t i = 0; i < row.turns.size(); ++i) {
      const auto digest = static_cast<unsigned char>(row.turns[i]);
      if (DetectLoop(detector, digest, 3) && detected_at == 99) detected_at = i;
    }
    CHECK(detected_at == row.detected_at);
  }
}

TEST_CASE("the working-set limit follows the miss share") {
  struct Row {
    std::string name;
    uint64_t cache_tokens;
    uint64_t cached;
    double live_tokens;
    bool limit_shrinks;
    bool limit_grows;
  };
  const std::vector<Row> rows = {
      {"all cached, below the limit", 100000, 1000, 50000, false, false},
      {"all cached, at the limit", 100000, 1000, 94000, false, true},
      {"misses at the limit", 100000, 500, 94000, true, false},
      {"cache size unknown, all cached", 0, 1000, 94000, false, false},
      {"cache size unknown, misses", 0, 500, 94000, true, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    WorkingSetGate gate = MakeWorkingSetGate(row.cache_tokens);
    const double before = gate.limit_tokens;
    for (int64_t i = 1; i <= 200; ++i) {
      UpdateWorkingSetGate(gate, 1000, row.cached, row.live_tokens,
                           Ms{i * 100});
    }
    CHECK((gate.limit_tokens < before) == row.limit_shrinks);
    CHECK((gate.limit_tokens > before) == row.limit_grows);
    CHECK(MayStartProgram(gate, 0));
    CHECK_FALSE(MayStartProgram(gate, gate.limit_tokens));
  }
}

EngineState MakeEngine(uint32_t index, uint32_t model, double load) {
  EngineState engine;
  engine.index = index;
  engine.model = model;
  engine.load = load;
  engine.changed_at = Ms{0};
  engine.epoch = Epoch{5};
  return engine;
}

TEST_CASE("the model shortest of engines gets the engine easiest to spare") {
  const std::vector<EngineState> engines = {
      MakeEngine(0, 1, 0.5), MakeEngine(1, 1, 0.1), MakeEngine(2, 1, 0.5),
      MakeEngine(3, 2, 0.9)};
  struct Row {
    std::string name;
    std::vector<ModelDemand> demands;
    Ms now;
    Ms store_free_at;
    uint64_t epoch;
    std::optional<uint32_t> engine;
  };
  const std::vector<ModelDemand> short_of_2 = {{1, 0.5, 100}, {2, 1.2, 100}};
  const Ms later = Seconds(200);
  const std::vector<Row> rows = {
      {"enough of each", {{1, 0.5, 100}, {2, 0.5, 100}}, later, Ms{0}, 5, {}},
      {"short of model 2", short_of_2, later, Ms{0}, 5, 1},
      {"engine changed its model recently",
       short_of_2,
       Seconds(100),
       Ms{0},
       5,
       {}},
      {"the weight store is busy", short_of_2, later, later + Ms{1}, 5, {}},
      {"not the owner", short_of_2, later, Ms{0}, 0, {}},
      {"no engine to spare",
       {{1, 2.4, 100}, {2, 1.2, 100}},
       later,
       Ms{0},
       5,
       {}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    std::vector<EngineState> owned = engines;
    for (EngineState& it : owned) it.epoch = Epoch{row.epoch};
    WeightStore store{10, row.store_free_at};
    const std::optional<EngineOrder> order =
        ChooseEngineOrder(owned, row.demands, store, row.now);
    REQUIRE(order.has_value() == row.engine.has_value());
    if (!order) continue;
    CHECK(order->engine == *row.engine);
    CHECK(order->model == 2);
    CHECK(order->epoch == Epoch{5});
    CHECK(store.free_at == row.now + Seconds(10));
  }
}

}  // namespace
}  // namespace knapweed
