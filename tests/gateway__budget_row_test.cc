// Tests of the rules by which gateways change the row of a token budget.
#include <doctest/doctest.h>

#include "knapweed/gateway/budget_row.h"

namespace knapweed::gateway {
namespace {

constexpr uint64_t kBudget = 200;
constexpr uint64_t kTurn = 20;
constexpr Ms kNow = Seconds(1000);
const Address kWitness{"127.0.0.1", 9};

BudgetLease LeaseOf(uint64_t number, uint64_t flushed, uint64_t carried) {
  BudgetLease lease;
  lease.number = number;
  lease.since = kNow - Seconds(20);
  lease.flushed = flushed;
  lease.carried = carried;
  lease.witnesses[kWitness] = "witness-1";
  return lease;
}

BudgetClaim ClaimOf(uint64_t spent) {
  BudgetClaim claim;
  claim.gateway = "own";
  claim.budget = kBudget;
  claim.spent = spent;
  claim.max_tokens = kTurn;
  claim.now = kNow;
  claim.lease = LeaseOf(1, 0, 0);
  return claim;
}

// Guards against tokens that count twice, or not at all, when an allowance is
// taken over.
TEST_CASE("of a lease that is taken over counts what its witnesses know") {
  struct Row {
    const char* what;
    uint64_t flushed;
    uint64_t carried;
    uint64_t settled;
    std::map<std::string, WitnessedTurn> running;
    uint64_t spent;
    uint64_t own_carried;
  };
  // The row has 100 tokens spent before.
  const Row rows[] = {
      {"nothing ran", 0, 0, 0, {}, 100, 0},
      {"spent and not written", 0, 0, 40, {}, 140, 0},
      {"all written", 40, 0, 40, {}, 100, 0},
      {"a part written", 30, 0, 40, {}, 110, 0},
      {"more written than witnessed", 50, 0, 40, {}, 100, 0},
      {"carried from an earlier lease", 0, 20, 40, {}, 160, 0},
      {"under way", 0, 0, 0, {{"t", {20, kNow}}}, 100, 20},
      {"several under way",
       0,
       0,
       10,
       {{"t", {20, kNow}}, {"u", {15, kNow}}},
       110,
       35},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    BudgetState state;
    state.spent = 100;
    state.allowances["other"] = {100, kNow - Seconds(1),
                                 LeaseOf(7, row.flushed, row.carried)};
    state = DecodeBudget(EncodeBudget(state));
    BudgetClaim claim = ClaimOf(0);
    const std::vector<std::string> asked = HoldersToAskFor(claim, state);
    CHECK(asked == std::vector<std::string>{"other"});
    claim.taken_over.push_back({"other", 7, row.settled, row.running});
    CHECK(HoldersToAskFor(claim, state).empty());
    CHECK(TakenOverIn(claim, state).size() == 1);
    CHECK(ApplyClaim(claim, state) == ClaimVerdict::kGranted);
    CHECK(state.spent == row.spent);
    CHECK(state.allowances.size() == 1);
    const BudgetState::Allowance& own = state.allowances.at("own");
    CHECK(own.lease->carried == row.own_carried);
    CHECK(own.tokens >= kTurn + row.own_carried);
    CHECK(state.spent + own.tokens <= kBudget);
  }
}

// Guards against a lease that counts as written what was spent before it.
TEST_CASE("only what is spent on a lease counts as written on it") {
  BudgetState state;
  CHECK(ApplyClaim(ClaimOf(30), state) == ClaimVerdict::kGranted);
  CHECK(state.spent == 30);
  CHECK(state.allowances.at("own").lease->flushed == 0);
  BudgetClaim next = ClaimOf(20);
  next.lease = state.allowances.at("own").lease;
  CHECK(ApplyClaim(next, state) == ClaimVerdict::kGranted);
  CHECK(state.spent == 50);
  CHECK(state.allowances.at("own").lease->flushed == 20);
}

// Guards against an allowance that is taken over although a turn may have run
// on it that nobody knows.
TEST_CASE("a lease is asked for only if its witnesses know all turns") {
  struct Row {
    const char* what;
    void (*edit)(BudgetState::Allowance& allowance);
    bool is_asked_for;
  };
  const Row rows[] = {
      {"witnessed", [](auto&) {}, true},
      {"of an earlier build", [](auto& it) { it.lease.reset(); }, false},
      {"a turn without a witness",
       [](auto& it) { it.lease->is_unwitnessed = true; }, false},
      {"so old that witnesses may have forgotten it",
       [](auto& it) { it.lease->since = kNow - Seconds(400); }, false},
      {"not confirmed for long", [](auto& it) { it.at = kNow - Seconds(60); },
       true},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    BudgetState state;
    state.spent = 100;
    state.allowances["other"] = {100, kNow - Seconds(1), LeaseOf(7, 0, 0)};
    row.edit(state.allowances["other"]);
    state = DecodeBudget(EncodeBudget(state));
    BudgetClaim claim = ClaimOf(0);
    CHECK(HoldersToAskFor(claim, state).empty() != row.is_asked_for);
    claim.unanswered.push_back("other");
    CHECK(HoldersToAskFor(claim, state).empty());
    CHECK(ApplyClaim(claim, state) != ClaimVerdict::kGranted);
    // Another lease of the same holder is not taken over.
    claim.taken_over.push_back({"other", 8, 0, {}});
    CHECK(TakenOverIn(claim, state).empty());
  }
}

}  // namespace
}  // namespace knapweed::gateway
