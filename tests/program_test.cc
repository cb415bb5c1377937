#include <doctest/doctest.h>

#include <string>
#include <thread>
#include <vector>

#include "tests/member_cluster.h"

namespace knapweed {
namespace {

ProgramKey KeyOf(const std::string& program) {
  return {WorkspaceId("w"), ProgramId(program)};
}

CallIdentity CallOf(const std::string& program, const std::string& key,
                    uint64_t digest = 1) {
  return {KeyOf(program), ProgramId(""), key, digest};
}

CallOutcome Answer(const std::string& text, uint64_t tokens = 0) {
  CallOutcome outcome;
  outcome.run = RunState::kRan;
  outcome.status = 200;
  outcome.body = text;
  outcome.added = {text};
  outcome.completion_tokens = tokens;
  return outcome;
}

struct Fixture {
  Fixture() {
    REQUIRE(member.Start().ok());
    member.Step();
    REQUIRE(member.OwnedPartitions() == TestMember::kPartitions);
  }

  Ms Deadline() const { return time.clock.Now() + Seconds(5); }
  BeginResult Begin(const CallIdentity& call,
                    const ProgramBudget& budget = {}) {
    return member.programs->Begin(call, budget, Deadline());
  }
  /// Runs a call from Begin to Finish. Returns the error code of a refusal.
  std::optional<ErrorCode> Run(const CallIdentity& call,
                               const CallOutcome& outcome,
                               const ProgramBudget& budget = {}) {
    BeginResult begun = Begin(call, budget);
    if (auto* error = std::get_if<CallError>(&begun)) return error->code;
    if (auto* hold = std::get_if<TurnHold>(&begun)) {
      CHECK(member.programs->Finish(std::move(*hold), outcome).ok());
    }
    return std::nullopt;
  }

  RunningClock time;
  MemoryStore store;
  TestMember member{"a", "a1", time.clock, store.Table(), store.Objects()};
};

TEST_CASE("a call sees the history of the program's earlier calls") {
  Fixture f;
  CHECK(!f.Run(CallOf("p", "k1"), Answer("one")));
  CHECK(!f.Run(CallOf("p", "k2"), Answer("two")));
  CHECK(!f.Run(CallOf("q", "k1"), Answer("other")));
  BeginResult begun = f.Begin(CallOf("p", "k3"));
  REQUIRE(std::holds_alternative<TurnHold>(begun));
  CHECK(std::get<TurnHold>(begun).history() ==
        std::vector<HistoryMessage>{"one", "two"});
  CHECK(std::get<TurnHold>(begun).turn() == 2);
}

TEST_CASE("a retried request gets the kept outcome, a reused key is refused") {
  struct Row {
    std::string key;
    uint64_t digest;
    std::optional<ErrorCode> error;
    bool kept;
  };
  const std::vector<Row> rows = {{"k1", 1, std::nullopt, true},
                                 {"k1", 2, ErrorCode::kKeyReused, false},
                                 {"k2", 1, std::nullopt, false},
                                 {"", 1, std::nullopt, false}};
  Fixture f;
  REQUIRE(!f.Run(CallOf("p", "k1"), Answer("one")));
  for (const Row& row : rows) {
    CAPTURE(row.key);
    CAPTURE(row.digest);
    const BeginResult begun = f.Begin(CallOf("p", row.key, row.digest));
    const auto* error = std::get_if<CallError>(&begun);
    const auto* outcome = std::get_if<CallOutcome>(&begun);
    CHECK((error != nullptr) == row.error.has_value());
    if (error != nullptr) CHECK(error->code == *row.error);
    CHECK((outcome != nullptr) == row.kept);
    if (outcome != nullptr) CHECK(outcome->body == "one");
  }
}

TEST_CASE("budgets are enforced, also for a tree of sub-agents") {
  struct Row {
    std::string name;
    ProgramBudget budget;
    std::string second;
    std::optional<ErrorCode> error;
  };
  const auto exhausted = ErrorCode::kBudgetExhausted;
  const std::vector<Row> rows = {
      {"no limit", {0, 0, Ms{0}}, "p", std::nullopt},
      {"tokens used", {10, 0, Ms{0}}, "p", exhausted},
      {"tokens left", {11, 0, Ms{0}}, "p", std::nullopt},
      {"tokens of the tree", {10, 0, Ms{0}}, "p/sub", exhausted},
      {"tokens of a deeper tree", {10, 0, Ms{0}}, "p/sub/sub", exhausted},
      {"another tree", {10, 0, Ms{0}}, "q/sub", std::nullopt},
      {"turns used", {0, 1, Ms{0}}, "p", exhausted},
      {"turns left", {0, 2, Ms{0}}, "p", std::nullopt},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Fixture f;
    REQUIRE(!f.Run(CallOf("p", "k1"), Answer("one", 10), row.budget));
    CHECK(f.Run(CallOf(row.second, "k2"), Answer("two", 1), row.budget) ==
          row.error);
  }
}

TEST_CASE("tokens reserved by one sub-agent are not available to another") {
  Fixture f;
  const ProgramBudget budget{100, 0, Ms{0}};
  BeginResult first = f.Begin(CallOf("p/a", "k"), budget);
  BeginResult second = f.Begin(CallOf("p/b", "k"), budget);
  auto& hold = std::get<TurnHold>(first);
  auto& other = std::get<TurnHold>(second);
  CHECK(f.member.programs->ReserveTokens(hold, 80) == 80);
  CHECK(f.member.programs->ReserveTokens(other, 80) == 20);
  CHECK(f.member.programs->Finish(std::move(hold), Answer("x", 30)).ok());
  CHECK(f.member.programs->ReserveTokens(other, 80) == 70);
}

TEST_CASE("Begin refuses calls that can't run, with the error code") {
  struct Row {
    std::string name;
    CallIdentity call;
    ErrorCode code;
  };
  CallIdentity other_tree = CallOf("p", "k");
  other_tree.parent = ProgramId("q");
  CallIdentity own_parent = CallOf("p", "k");
  own_parent.parent = ProgramId("p");
  const std::vector<Row> rows = {
      {"parent in another tree", other_tree, ErrorCode::kBadRequest},
      {"its own parent", own_parent, ErrorCode::kBadRequest},
      {"queued after a call that does not end", CallOf("busy", "k2"),
       ErrorCode::kDeadlineExceeded},
  };
  Fixture f;
  const BeginResult busy = f.Begin(CallOf("busy", "k1"));
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const BeginResult begun =
        f.member.programs->Begin(row.call, {}, f.time.clock.Now() + Ms{20});
    REQUIRE(std::holds_alternative<CallError>(begun));
    CHECK(std::get<CallError>(begun).code == row.code);
    CHECK(std::get<CallError>(begun).run == RunState::kNotRun);
  }
}

TEST_CASE("concurrent calls of a program run one after another") {
  Fixture f;
  constexpr int kCalls = 20;
  std::vector<std::thread> threads;
  threads.reserve(kCalls);
  std::atomic<int> running{0};
  for (int i = 0; i < kCalls; ++i) {
    threads.emplace_back([&, i] {
      BeginResult begun = f.Begin(CallOf("p", "k" + std::to_string(i)));
      REQUIRE(std::holds_alternative<TurnHold>(begun));
      CHECK(running.fetch_add(1) == 0);
      auto& hold = std::get<TurnHold>(begun);
      const std::string text = std::to_string(hold.history().size());
      running.fetch_sub(1);
      CHECK(f.member.programs->Finish(std::move(hold), Answer(text)).ok());
    });
  }
  for (std::thread& it : threads) it.join();
  const BeginResult begun = f.Begin(CallOf("p", "last"));
  const auto& history = std::get<TurnHold>(begun).history();
  REQUIRE(history.size() == kCalls);
  for (int i = 0; i < kCalls; ++i) CHECK(history[i] == std::to_string(i));
}

TEST_CASE("an idle program is ended at its idle limit") {
  struct Row {
    std::string program;
    Ms idle;
    size_t live;
  };
  const std::vector<Row> rows = {{"p", Seconds(86000), 1},
                                 {"p", Seconds(86400), 0},
                                 {"~once-1", Seconds(100), 1},
                                 {"~once-1", Seconds(120), 0}};
  for (const Row& row : rows) {
    CAPTURE(row.program);
    CAPTURE(row.idle.count);
    Fixture f;
    REQUIRE(!f.Run(CallOf(row.program, "k"), Answer("one")));
    f.time.clock.Advance(row.idle);
    CHECK(f.member.programs->Maintain().ok());
    CHECK(f.member.programs->LivePrograms().size() == row.live);
  }
}

TEST_CASE("the name of an ended program starts with an empty history") {
  Fixture f;
  CHECK(absl::IsNotFound(f.member.programs->End(KeyOf("p"))));
  REQUIRE(!f.Run(CallOf("p", "k1"), Answer("one")));
  CHECK(f.member.programs->End(KeyOf("p")).ok());
  CHECK(f.member.programs->LivePrograms().empty());
  const BeginResult begun = f.Begin(CallOf("p", "k1"));
  REQUIRE(std::holds_alternative<TurnHold>(begun));
  CHECK(std::get<TurnHold>(begun).history().empty());
}

}  // namespace
}  // namespace knapweed
