// Token budgets of programs when it is unknown whether the store made a write.
#include <doctest/doctest.h>

#include <algorithm>

#include "knapweed/gateway/budget_row.h"
#include "tests/platform/killable_gateway.h"

namespace knapweed::testing {
namespace {

// Each turn takes all of its tokens: three events of four.
constexpr int kTurnTokens = 12;
constexpr int kBudgetTurns = 20;
// Turns that outlive the gateway on whose allowance they run.
constexpr int kRunning = 3;
constexpr char kTable[] = "budgets";

// Gateway 0 lives on; the home can be killed, and the gateway that takes its
// allowance over.
struct World {
  World() : cluster(1, 2), home(cluster, "home"), next(cluster, "next") {
    cluster.RunFor(Ms{1500});
    program = ProgramOfHome(cluster, home.index());
  }

  std::string RowKey() const { return "ws2/" + program; }
  std::shared_ptr<CallerResponse> StartTurn(int gateway, Ms event_gap) {
    for (auto& engine : cluster.engines) {
      engine->default_script.event_gap = event_gap;
    }
    CallerRequest turn = TurnCall("t" + std::to_string(turns_sent++), program,
                                  kBudgetTurns * kTurnTokens, kTurnTokens);
    turn.headers["Key"] = "key2";
    return cluster.StartCall(turn, gateway);
  }
  // Runs one turn, as a caller that comes again when it is refused. Returns
  // whether it is served.
  bool RunTurn(int gateway) {
    constexpr int kTries = 8;
    for (int i = 0; i < kTries; ++i) {
      const auto turn = StartTurn(gateway, Ms{0});
      cluster.RunUntil([&] { return turn->done; });
      if (turn->status == 200 && turn->complete) return true;
      if (turn->status != 503) return false;
      cluster.RunFor(Ms{200});
    }
    return false;
  }
  // Runs turns until one is refused; returns how many are served.
  int RunTurns(int gateway) {
    int served = 0;
    while (served <= 2 * kBudgetTurns && RunTurn(gateway)) ++served;
    return served;
  }
  // Lets the store be away right after the first write of the program's row
  // that `matches` it, which has the given fate.
  void LoseWrite(
      CommitFate fate,
      const std::function<bool(const nlohmann::json& state)>& matches) {
    cluster.store.faults.decide_fate = [this, fate, matches](
                                           const std::string& table,
                                           const std::string& value) {
      if (table != kTable) return CommitFate::kAnswered;
      const auto row = nlohmann::json::parse(value);
      if (!matches(row["state"])) return CommitFate::kAnswered;
      cluster.store.faults.unavailable = true;
      cluster.store.faults.decide_fate = nullptr;
      was_lost = true;
      return fate;
    };
  }
  // Puts the marks of many other writers in the place of those in the row.
  void EvictMarks() {
    constexpr int kMarks = 12;
    auto row = nlohmann::json::parse(cluster.store.Get(kTable, RowKey()));
    row["marks"] = nlohmann::json::array();
    for (int i = 0; i < kMarks; ++i) {
      row["marks"].push_back({"writer-" + std::to_string(i), 1});
    }
    const auto key = gateway::BudgetKeyOf(RowKey());
    cluster.store.PutInPart(kTable, key.part, key.key, row.dump());
  }

  TestCluster cluster;
  KillableGateway home;
  KillableGateway next;
  std::string program;
  int turns_sent = 0;
  bool was_lost = false;
};

// Guards against turns that run on an allowance and count nowhere, since the
// store's answer to the takeover of the allowance was lost.
TEST_CASE("turns count after a takeover of which the outcome is unknown") {
  struct Row {
    const char* what;
    CommitFate fate;
    // Time between the events of the turns that run meanwhile: they end after
    // the store is back, or before.
    Ms event_gap;
    // The one that takes over restarts before it knows.
    bool restarts = false;
    // Another gateway claims first.
    bool other_first = false;
    bool evicts_mark = false;
  };
  const Ms after{900};
  const Ms before{300};
  const Row rows[] = {
      {"made", CommitFate::kLost, after},
      {"made, turns end meanwhile", CommitFate::kLost, before},
      {"made late", CommitFate::kLate, after},
      {"made late, turns end meanwhile", CommitFate::kLate, before},
      {"not made", CommitFate::kDropped, after},
      {"not made, turns end meanwhile", CommitFate::kDropped, before},
      {"made, another gateway is asked", CommitFate::kLost, after, false, true},
      {"not made, another gateway is asked", CommitFate::kDropped, after, false,
       true},
      {"made, mark evicted", CommitFate::kLost, after, false, false, true},
      {"made, restarts", CommitFate::kLost, after, true},
      {"not made, restarts", CommitFate::kDropped, after, true},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    World world;
    TestCluster& cluster = world.cluster;
    const int next = world.next.index();
    CHECK(world.RunTurn(0));
    // They run on the allowance of the home, and outlive it.
    std::vector<std::shared_ptr<CallerResponse>> running;
    running.reserve(kRunning);
    for (int i = 0; i < kRunning; ++i) {
      running.push_back(world.StartTurn(0, row.event_gap));
    }
    cluster.RunFor(Ms{150});
    world.home.Kill();
    const auto state =
        nlohmann::json::parse(cluster.store.Get(kTable, world.RowKey()));
    const auto& allowances = state["state"]["allowances"];
    REQUIRE(allowances.size() == 1);
    const std::string holder = allowances.begin().key();
    world.LoseWrite(row.fate, [&](const nlohmann::json& written) {
      return !written["allowances"].contains(holder);
    });
    int served = 1 + kRunning;
    for (int i = 0; i < kBudgetTurns && !world.was_lost; ++i) {
      const auto turn = world.StartTurn(next, Ms{0});
      cluster.RunUntil([&] { return turn->done; });
      if (turn->status == 200) ++served;
    }
    REQUIRE(world.was_lost);
    cluster.RunFor(Ms{700});
    if (row.restarts) world.next.Kill();
    cluster.store.faults.unavailable = false;
    if (row.evicts_mark) world.EvictMarks();
    if (row.restarts) world.next.Start();
    cluster.RunFor(Ms{200});
    if (row.other_first) served += world.RunTurn(0) ? 1 : 0;
    served += world.RunTurns(next);
    cluster.RunUntil([&] {
      return std::all_of(running.begin(), running.end(),
                         [](const auto& turn) { return turn->done; });
    });
    for (const auto& turn : running) CHECK(turn->complete);
    cluster.RunFor(Ms{700});
    served += world.RunTurns(next);
    CHECK(served == kBudgetTurns);
  }
}

// Guards against tokens that count twice, or are given back twice, since the
// store's answer to a write-back was lost.
TEST_CASE("a write-back of which the outcome is unknown counts once") {
  struct Row {
    const char* what;
    CommitFate fate;
    // The write that returns the allowance, or one that only tells what was
    // spent.
    bool returns;
  };
  const Row rows[] = {
      {"made", CommitFate::kLost, false},
      {"made late", CommitFate::kLate, false},
      {"not made", CommitFate::kDropped, false},
      {"returned", CommitFate::kLost, true},
      {"returned late", CommitFate::kLate, true},
      {"not returned", CommitFate::kDropped, true},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    World world;
    int served = 0;
    world.LoseWrite(row.fate, [&](const nlohmann::json& written) {
      return written["spent"] > 0 &&
             written["allowances"].empty() == row.returns;
    });
    for (int i = 0; i < 2; ++i) served += world.RunTurn(0) ? 1 : 0;
    world.cluster.RunUntil([&] { return world.was_lost; });
    REQUIRE(world.was_lost);
    world.cluster.RunFor(Ms{600});
    world.cluster.store.faults.unavailable = false;
    world.cluster.RunFor(Ms{100});
    served += world.RunTurns(0);
    CHECK(served == kBudgetTurns);
  }
}

}  // namespace
}  // namespace knapweed::testing
