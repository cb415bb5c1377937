// Token budgets of programs whose home ends, between turns and in one.
#include <doctest/doctest.h>

#include <cstdlib>
#include <random>

#include "tests/platform/killable_gateway.h"

namespace knapweed::testing {
namespace {

// Each turn takes all of its tokens: three events of four.
constexpr int kTurnTokens = 12;
constexpr int kBudgetTurns = 14;
constexpr int kTurnsBefore = 3;
constexpr int kPrograms = 3;

// Gateway 0 lives on; the home and the witness can be killed.
struct World {
  World() : cluster(1, 2), home(cluster, "home"), other(cluster, "other") {
    cluster.RunFor(Ms{1500});
  }

  // Returns a program whose home is the gateway `home`.
  std::string ProgramOfHome(int number) const {
    return testing::ProgramOfHome(cluster, home.index(),
                                  "prog" + std::to_string(number));
  }
  const Address& PeersOf(int gateway) const {
    return cluster.configs[static_cast<size_t>(gateway)].peers;
  }
  CallerRequest NextTurn(const std::string& program) {
    CallerRequest turn = TurnCall("t" + std::to_string(turns_sent++), program,
                                  budget_turns * kTurnTokens, kTurnTokens);
    turn.headers["Key"] = "key2";
    return turn;
  }
  // Runs a turn at one of the gateways in turn, as a caller that comes again
  // when it is refused. Returns its last status.
  int RunTurn(const std::string& program, const std::vector<int>& gateways) {
    constexpr int kTries = 6;
    constexpr Ms kPause{200};
    int status = 0;
    for (int i = 0; i < kTries; ++i) {
      const int gateway =
          gateways[static_cast<size_t>(turns_sent) % gateways.size()];
      const CallerResponse response = cluster.Call(NextTurn(program), gateway);
      status = response.complete ? response.status : 0;
      if (status != 503) break;
      cluster.RunFor(kPause);
    }
    return status;
  }

  TestCluster cluster;
  KillableGateway home;
  KillableGateway other;
  int turns_sent = 0;
  int budget_turns = kBudgetTurns;
};

// Guards against a program that loses what its home had set aside when the home
// ends, and against one that gets more than its budget.
TEST_CASE("a program keeps its budget when its home ends") {
  struct Row {
    const char* what;
    // Where the first turns run: 0, 1 (the home itself) or 2.
    std::vector<int> first;
    bool restarts;
    bool kills_other;
    // Time without a turn.
    Ms pause;
    // Turns that are served in all, at least.
    int least_turns;
  };
  const Row rows[] = {
      {"run elsewhere, home restarts",
       {0, 2},
       true,
       false,
       Ms{0},
       kBudgetTurns},
      {"run elsewhere, home stays away",
       {0, 2},
       false,
       false,
       Ms{0},
       kBudgetTurns},
      {"run at the home, which restarts",
       {1},
       true,
       false,
       Ms{0},
       kBudgetTurns},
      {"run at all gateways", {0, 1, 2}, true, false, Ms{0}, kBudgetTurns},
      {"long pause", {0, 1, 2}, false, false, Seconds(13), kBudgetTurns},
      {"another gateway without turns ends too",
       {0},
       true,
       true,
       Ms{0},
       kBudgetTurns},
      // What the other gateway ran is known to nobody.
      {"runner ends too", {2}, true, true, Ms{0}, kTurnsBefore},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    World world;
    std::vector<std::string> programs;
    for (int i = 0; i < kPrograms; ++i) {
      programs.push_back(world.ProgramOfHome(i));
      for (int turn = 0; turn < kTurnsBefore; ++turn) {
        CHECK(world.RunTurn(programs.back(), row.first) == 200);
      }
    }
    world.home.Kill();
    if (row.kills_other) world.other.Kill();
    world.cluster.RunFor(Ms{200});
    if (row.restarts) world.home.Start();
    if (row.kills_other) world.other.Start();
    world.cluster.RunFor(row.pause);
    for (const std::string& program : programs) {
      int served = kTurnsBefore;
      while (served <= kBudgetTurns && world.RunTurn(program, {0, 2}) == 200) {
        ++served;
      }
      CAPTURE(program);
      CHECK(served >= row.least_turns);
      CHECK(served <= kBudgetTurns);
    }
  }
}

// Guards against a budget for one more turn that is refused for as long as the
// killed gateway's allowance counts as held, and then as spent.
TEST_CASE("the last turn of a tight budget is served after its home ended") {
  for (const bool cuts_turn : {false, true}) {
    CAPTURE(cuts_turn);
    World world;
    world.budget_turns = 2;
    const std::string program = world.ProgramOfHome(0);
    for (auto& engine : world.cluster.engines) {
      engine->default_script.event_gap = Ms{cuts_turn ? 400 : 0};
    }
    const auto turn =
        world.cluster.StartCall(world.NextTurn(program), world.home.index());
    world.cluster.RunFor(Ms{500});
    CHECK(turn->complete != cuts_turn);
    world.home.Kill();
    for (auto& engine : world.cluster.engines) {
      engine->default_script.event_gap = Ms{0};
    }
    CHECK(world.RunTurn(program, {0, 2}) == 200);
    CHECK(world.RunTurn(program, {0, 2}) == 402);
  }
}

// Guards against a turn that counts twice, or not at all, when its home ends
// while it runs.
TEST_CASE("a turn that outlives its home counts once") {
  struct Row {
    const char* what;
    int runner;
    bool completes;
  };
  const Row rows[] = {{"at another gateway", 0, true},
                      {"at the home, with which it ends", 1, false}};
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    World world;
    const std::string program = world.ProgramOfHome(0);
    CHECK(world.RunTurn(program, {row.runner}) == 200);
    for (auto& engine : world.cluster.engines) {
      engine->default_script.event_gap = Ms{400};
    }
    const auto turn =
        world.cluster.StartCall(world.NextTurn(program), row.runner);
    world.cluster.RunFor(Ms{500});
    for (auto& engine : world.cluster.engines) {
      engine->default_script.event_gap = Ms{0};
    }
    world.home.Kill();
    // The next turn takes the lease over while this one runs.
    CHECK(world.RunTurn(program, {2}) == 200);
    CHECK(world.cluster.RunUntil([&] { return turn->done; }));
    CHECK(turn->complete == row.completes);
    world.cluster.RunFor(Ms{500});
    int served = 3;
    while (served <= kBudgetTurns && world.RunTurn(program, {0, 2}) == 200) {
      ++served;
    }
    CHECK(served == kBudgetTurns);
  }
}

// Guards against turns that a home lets begin on an allowance that another
// gateway has taken over: it was paused or cut off, not dead.
TEST_CASE("a living home whose allowance is taken over exceeds no budget") {
  for (const int runner : {0, 1}) {
    CAPTURE(runner);
    World world;
    const std::string program = world.ProgramOfHome(0);
    CHECK(world.RunTurn(program, {runner}) == 200);
    const auto row = nlohmann::json::parse(
        world.cluster.store.Get("budgets", "ws2/" + program));
    const auto& leases = row["state"]["leases"];
    REQUIRE(leases.size() == 1);
    const auto& lease = leases.begin().value();
    REQUIRE(lease["witnesses"].size() == 1);
    Address witness;
    REQUIRE(ParseAddress(lease["witnesses"].begin().key(), &witness));
    // As a gateway does that then ends before it writes the row, and as one
    // that writes it.
    const nlohmann::json asked = {{"program", "ws2/" + program},
                                  {"holder", leases.begin().key()},
                                  {"lease", lease["number"]},
                                  {"successor", world.PeersOf(2).ToString()}};
    CHECK(world.cluster.Post(witness, "/budget/take-over", asked.dump()) ==
          200);
    int served = 1;
    while (served <= kBudgetTurns &&
           world.RunTurn(program, {runner, runner, 2}) == 200) {
      ++served;
    }
    CHECK(served == kBudgetTurns);
  }
}

int TokensOf(const CallerResponse& response) {
  constexpr int kTokensPerEvent = 4;
  int events = 0;
  for (size_t at = response.body.find("data:"); at != std::string::npos;
       at = response.body.find("data:", at + 1)) {
    ++events;
  }
  return events * kTokensPerEvent;
}

// What happens between two turns of the run below.
void Disrupt(World& world, std::mt19937_64& random) {
  StoreFaults& faults = world.cluster.store.faults;
  faults.unavailable = false;
  faults.lost_response_rate = 0;
  faults.late_commit_rate = 0;
  KillableGateway& victim = random() % 2 == 0 ? world.home : world.other;
  switch (random() % 6) {
    case 0:
      victim.Kill();
      victim.Start();
      break;
    case 1:
      faults.unavailable = true;
      break;
    case 2:
      faults.lost_response_rate = 0.4;
      break;
    case 3:
      faults.late_commit_rate = 0.4;
      break;
    default:
      break;
  }
}

// Guards against tokens beyond the budget when gateways end, answers of the
// store are lost and turns of one program run at all gateways at once.
TEST_CASE("no program gets more than its budget and one turn") {
  const char* by_hand = std::getenv("KNAPWEED_SEEDS");
  const uint64_t seeds = by_hand != nullptr ? std::stoull(by_hand) : 4;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    World world;
    const std::string program = world.ProgramOfHome(0);
    std::vector<std::shared_ptr<CallerResponse>> turns;
    constexpr int kTurns = 60;
    for (int i = 0; i < kTurns; ++i) {
      if (i % 5 == 4) Disrupt(world, random);
      const auto gap = Ms{static_cast<int64_t>(random() % 3 * 60)};
      for (auto& engine : world.cluster.engines) {
        engine->default_script.event_gap = gap;
      }
      const int gateways[] = {0, world.home.index(), world.other.index()};
      turns.push_back(world.cluster.StartCall(world.NextTurn(program),
                                              gateways[random() % 3]));
      world.cluster.RunFor(Ms{static_cast<int64_t>(random() % 120)});
    }
    world.cluster.store.faults = {};
    world.cluster.RunUntil([&] {
      return std::all_of(turns.begin(), turns.end(),
                         [](const auto& turn) { return turn->done; });
    });
    int tokens = 0;
    for (const auto& turn : turns) tokens += TokensOf(*turn);
    CHECK(tokens <= (kBudgetTurns + 1) * kTurnTokens);
    MESSAGE("seed ", seed, ": ", tokens, " of ", kBudgetTurns * kTurnTokens);
  }
}

}  // namespace
}  // namespace knapweed::testing
