#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "knapweed/journal/log_rows.h"
#include "knapweed/membership/rows.h"
#include "tests/member_cluster.h"

namespace knapweed {
namespace {

const ProgramKey kProgram{WorkspaceId("w"), ProgramId("p")};
const PartitionId kPartition = PartitionOf(kProgram, TestMember::kPartitions);

CallIdentity CallOf(const std::string& key) {
  return {kProgram, ProgramId(""), key, 1};
}

CallOutcome Answer(const std::string& text) {
  CallOutcome outcome;
  outcome.run = RunState::kRan;
  outcome.status = 200;
  outcome.body = text;
  outcome.added = {text};
  outcome.completion_tokens = 5;
  return outcome;
}

Intent IntentOf(const std::string& attempt) {
  Intent intent;
  intent.attempt = AttemptId(attempt);
  intent.upstream = UpstreamId("u");
  return intent;
}

/// A cluster of two members; `owner` is the one that owns the program.
struct MemberPair : TestCluster {
  MemberPair() {
    Add("a");
    Add("b");
    for (auto& it : members) REQUIRE(it->Start().ok());
    RunRounds();
    if (!members[0]->Serves(kPartition)) std::swap(members[0], members[1]);
    REQUIRE(members[0]->Serves(kPartition));
  }

  void RunRounds() {
    for (int i = 0; i < 6; ++i) Step();
  }
  TestMember& owner() { return *members[0]; }
  TurnHold BeginTurn(TestMember& member, const std::string& key) {
    BeginResult begun =
        member.programs->Begin(CallOf(key), {}, time.clock.Now() + Seconds(2));
    REQUIRE(std::holds_alternative<TurnHold>(begun));
    return std::move(std::get<TurnHold>(begun));
  }
  absl::Status RunTurn(TestMember& member, const std::string& key) {
    return member.programs->Finish(BeginTurn(member, key), Answer(key));
  }
  std::vector<HistoryMessage> ReadHistory() {
    TestMember* member = OwnerOf(kProgram);
    REQUIRE(member != nullptr);
    return BeginTurn(*member, "").history();
  }
  Epoch EpochInStore() {
    const auto row = store.Table().get(PartitionKey(kPartition));
    return DecodePartition(row->value)->epoch;
  }
};

using History = std::vector<HistoryMessage>;

TEST_CASE("acknowledged turns survive the crash of their owner") {
  struct Row {
    std::string name;
    std::function<void(MemberPair&)> before_kill;
    History history;
    bool open_intent;
  };
  const std::vector<Row> rows = {
      {"between turns", [](MemberPair&) {}, {"one"}, false},
      {"in a turn",
       [](MemberPair& pair) {
         TurnHold hold = pair.BeginTurn(pair.owner(), "two");
       },
       {"one"},
       false},
      {"between intent and outcome",
       [](MemberPair& pair) {
         TurnHold hold = pair.BeginTurn(pair.owner(), "two");
         CHECK(pair.owner().programs->RecordIntent(hold, IntentOf("t")).ok());
       },
       {"one"},
       true},
      {"after the outcome",
       [](MemberPair& pair) {
         TurnHold hold = pair.BeginTurn(pair.owner(), "other");
         REQUIRE(pair.owner().programs->RecordIntent(hold, IntentOf("t")).ok());
         CHECK(pair.owner()
                   .programs->Finish(std::move(hold), Answer("other"))
                   .ok());
       },
       {"one", "other"},
       false},
      {"after its log moved into a segment",
       [](MemberPair& pair) {
         for (int i = 0; i < 10; ++i) {
           CHECK(pair.RunTurn(pair.owner(), std::to_string(i)).ok());
         }
         CHECK(pair.owner().programs->Maintain().ok());
         CHECK(pair.RunTurn(pair.owner(), "last").ok());
       },
       {"one", "0", "1", "2", "3", "4", "5", "6", "7", "8", "9", "last"},
       false},
  };
  for (const Row& row : rows) {
    // Also with a crash of the next owners: of the second before it has copied
    // the first one's log, of the third after it has.
    for (const int kills : {1, 2, 3}) {
      CAPTURE(row.name);
      CAPTURE(kills);
      MemberPair pair;
      REQUIRE(pair.RunTurn(pair.owner(), "one").ok());
      row.before_kill(pair);
      for (int i = 0; i < kills; ++i) {
        pair.Kill(0);
        if (i > 0) REQUIRE(pair.Add("c" + std::to_string(i)).Start().ok());
        pair.AdvancePastLease();
        if (i == 1) CHECK(pair.members[0]->programs->Maintain().ok());
      }
      CHECK(pair.ReadHistory() == row.history);
      TestMember& next = *pair.OwnerOf(kProgram);
      const TurnHold hold = pair.BeginTurn(next, "two");
      CHECK((hold.open_intent() != nullptr) == row.open_intent);
      if (row.open_intent) CHECK(hold.open_intent()->attempt.value == "t");
    }
  }
}

TEST_CASE("a turn is recorded once although commits fail or lose responses") {
  struct Row {
    std::string name;
    StoreFaults faults;
  };
  const std::vector<Row> rows = {
      {"answer lost",
       {.lose_commit_answers = 1, .commit_key_prefix = "journal/"}},
      {"answer lost twice",
       {.lose_commit_answers = 2, .commit_key_prefix = "journal/"}},
      {"request lost", {.lose_commits = 1, .commit_key_prefix = "journal/"}},
      {"refused", {.fail_commits = 1, .commit_key_prefix = "journal/"}},
      {"refused, then answer lost",
       {.lose_commit_answers = 1,
        .fail_commits = 1,
        .commit_key_prefix = "journal/"}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    MemberPair pair;
    pair.store.SetFaults(row.faults);
    const absl::Status status = pair.RunTurn(pair.owner(), "one");
    CHECK((status.ok() || absl::IsUnavailable(status)));
    CHECK(pair.RunTurn(pair.owner(), "two").ok());
    pair.Kill(0);
    pair.AdvancePastLease();
    CHECK(pair.ReadHistory() == History{"one", "two"});
  }
}

TEST_CASE("a paused owner that resumes after a takeover records nothing") {
  MemberPair pair;
  REQUIRE(pair.RunTurn(pair.owner(), "one").ok());
  TurnHold open_turn = pair.BeginTurn(pair.owner(), "two");
  auto paused = std::move(pair.members[0]);
  pair.Kill(0);
  pair.AdvancePastLease();
  CHECK(pair.ReadHistory() == History{"one"});
  CHECK(!paused->membership->LeaseHolds());
  CHECK(!paused->Serves(kPartition));
  CHECK(!paused->programs->RecordIntent(open_turn, IntentOf("t")).ok());
  CHECK(!paused->programs->Finish(std::move(open_turn), Answer("two")).ok());
  CHECK(pair.RunTurn(*pair.OwnerOf(kProgram), "three").ok());
  // It rejoins, and may get the program back by a planned handover.
  pair.members.push_back(std::move(paused));
  pair.AdvanceTime(Seconds(4));
  CHECK(pair.members.back()->membership->LeaseHolds());
  CHECK(pair.ReadHistory() == History{"one", "three"});
}

TEST_CASE("a store outage past the leases moves no partition, loses no turn") {
  MemberPair pair;
  REQUIRE(pair.RunTurn(pair.owner(), "one").ok());
  const Epoch before = pair.EpochInStore();
  pair.store.SetFaults({.outage = true});
  pair.AdvanceTime(Seconds(20));
  const auto owner = pair.owner().membership->OwnerOf(kPartition);
  REQUIRE(owner);
  CHECK(!owner->self);
  CHECK(owner->self_lease_expired);
  // An idempotent turn runs and stays pending; recording an intent fails.
  CHECK(absl::IsUnavailable(pair.RunTurn(pair.owner(), "two")));
  TurnHold hold = pair.BeginTurn(pair.owner(), "three");
  CHECK(hold.history() == History{"one", "two"});
  CHECK(!pair.owner().programs->RecordIntent(hold, IntentOf("t")).ok());
  CHECK(pair.owner().programs->Finish(std::move(hold), CallOutcome{}).ok());
  pair.store.SetFaults({});
  pair.AdvanceTime(Seconds(20));
  CHECK(pair.EpochInStore() == before);
  // The caller retries, and gets the outcome once the turn is durable.
  bool durable = false;
  for (int i = 0; i < 50 && !durable; ++i) {
    const BeginResult again = pair.owner().programs->Begin(
        CallOf("two"), {}, pair.time.clock.Now() + Seconds(1));
    durable = std::holds_alternative<CallOutcome>(again);
  }
  CHECK(durable);
  pair.Kill(0);
  pair.AdvancePastLease();
  CHECK(pair.ReadHistory() == History{"one", "two"});
  const TurnHold again = pair.BeginTurn(*pair.OwnerOf(kProgram), "three");
  CHECK(again.open_intent() == nullptr);
}

TEST_CASE("members that start concurrently end with one owner per partition") {
  TestCluster cluster;
  constexpr int kMembers = 4;
  for (int i = 0; i < kMembers; ++i) cluster.Add("m" + std::to_string(i));
  std::vector<std::thread> threads;
  threads.reserve(kMembers);
  for (auto& it : cluster.members) {
    threads.emplace_back([&it] {
      CHECK(it->Start().ok());
      for (int i = 0; i < 10; ++i) it->Step();
    });
  }
  for (std::thread& it : threads) it.join();
  for (int i = 0; i < 10; ++i) cluster.Step();
  for (uint32_t n = 0; n < TestMember::kPartitions; ++n) {
    int owners = 0;
    for (auto& it : cluster.members) owners += it->Serves(PartitionId{n});
    CHECK(owners == 1);
  }
}

TEST_CASE("another member completes a takeover cut off after any commit") {
  // Number of commits after which the member that takes over is cut off from
  // the store. The range covers closing the fence, claiming the partitions,
  // copying the log and changing the partitions' sources.
  for (int commits = 0; commits < 24; ++commits) {
    CAPTURE(commits);
    MemberPair pair;
    REQUIRE(pair.RunTurn(pair.owner(), "one").ok());
    REQUIRE(pair.RunTurn(pair.owner(), "two").ok());
    const Epoch before = pair.EpochInStore();
    pair.Kill(0);
    pair.members[0]->gate->commits_left.store(commits);
    pair.AdvancePastLease();
    pair.members[0]->programs->Maintain().IgnoreError();
    pair.Kill(0);
    REQUIRE(pair.Add("c").Start().ok());
    pair.AdvancePastLease();
    CHECK(pair.ReadHistory() == History{"one", "two"});
    CHECK(pair.EpochInStore() > before);
  }
}

TEST_CASE("a planned stop hands over at once and lets running calls finish") {
  MemberPair pair;
  REQUIRE(pair.RunTurn(pair.owner(), "one").ok());
  TurnHold hold = pair.BeginTurn(pair.owner(), "two");
  std::thread call([&] {
    SleepFor(Ms{30});
    CHECK(pair.owner().programs->Finish(std::move(hold), Answer("two")).ok());
  });
  CHECK(pair.owner().membership->Leave(Seconds(20)).ok());
  call.join();
  pair.members[1]->Step();
  CHECK(pair.members[1]->OwnedPartitions() == TestMember::kPartitions);
  CHECK(pair.ReadHistory() == History{"one", "two"});
}

TEST_CASE("a busy partition does not move to a new member at once") {
  TestCluster cluster;
  TestMember& first = cluster.Add("a");
  REQUIRE(first.Start().ok());
  for (int i = 0; i < 3; ++i) cluster.Step();
  std::vector<TurnHold> holds;
  for (int i = 0; i < 40; ++i) {
    const ProgramKey key{WorkspaceId("w"), ProgramId("p" + std::to_string(i))};
    BeginResult begun = first.programs->Begin({key, ProgramId(""), "", 1}, {},
                                              cluster.time.clock.Now());
    REQUIRE(std::holds_alternative<TurnHold>(begun));
    holds.push_back(std::move(std::get<TurnHold>(begun)));
  }
  REQUIRE(cluster.Add("b").Start().ok());
  cluster.AdvanceTime(Seconds(20));
  CHECK(first.OwnedPartitions() == TestMember::kPartitions);
  // Once the calls have ended, the partitions can move.
  holds.clear();
  cluster.AdvanceTime(Seconds(4));
  CHECK(first.OwnedPartitions() < TestMember::kPartitions);
  CHECK(first.OwnedPartitions() + cluster.members[1]->OwnedPartitions() ==
        TestMember::kPartitions);
}

TEST_CASE("Leave fails when a call outlasts its timeout, and the call fails") {
  MemberPair pair;
  REQUIRE(pair.RunTurn(pair.owner(), "one").ok());
  TurnHold hold = pair.BeginTurn(pair.owner(), "two");
  CHECK(!pair.owner().membership->Leave(Ms{300}).ok());
  auto stopped = std::move(pair.members[0]);
  pair.Kill(0);
  pair.AdvanceTime(Seconds(2));
  CHECK(pair.ReadHistory() == History{"one"});
  CHECK(!stopped->programs->Finish(std::move(hold), Answer("two")).ok());
  CHECK(pair.ReadHistory() == History{"one"});
}

TEST_CASE("an ended program stays ended when its partition changes owners") {
  MemberPair pair;
  REQUIRE(pair.RunTurn(pair.owner(), "one").ok());
  for (int round = 0; round < 3; ++round) {
    CAPTURE(round);
    TestMember& owner = *pair.OwnerOf(kProgram);
    const absl::Status ended = owner.programs->End(kProgram);
    CHECK(ended.ok());
    for (int i = 0; i < 10; ++i) {
      const CallIdentity other{
          {WorkspaceId("w"), ProgramId("p/x")}, ProgramId("p/y"), "", 1};
      BeginResult begun =
          owner.programs->Begin(other, {}, pair.time.clock.Now() + Seconds(1));
      REQUIRE(std::holds_alternative<TurnHold>(begun));
      CHECK(owner.programs
                ->Finish(std::move(std::get<TurnHold>(begun)), Answer("x"))
                .ok());
    }
    for (int i = 0; i < 4; ++i) CHECK(owner.programs->Maintain().ok());
    const std::string id =
        owner.membership->OwnerOf(kPartition)->member.id.value;
    CHECK(owner.membership->Leave(Seconds(20)).ok());
    if (pair.members[0].get() != &owner) {
      std::swap(pair.members[0], pair.members[1]);
    }
    pair.Kill(0);
    REQUIRE(pair.Add(id).Start().ok());
    pair.AdvanceTime(Seconds(4));
    for (auto& it : pair.members) CHECK(it->programs->Maintain().ok());
    CHECK(pair.ReadHistory().empty());
    REQUIRE(pair.RunTurn(*pair.OwnerOf(kProgram), "again").ok());
  }
}

TEST_CASE("logs are compacted, and deleted once no partition refers to them") {
  MemberPair pair;
  for (int i = 0; i < 50; ++i) {
    CHECK(pair.RunTurn(pair.owner(), std::to_string(i)).ok());
    CHECK(pair.owner().programs->Maintain().ok());
  }
  const auto rows = [&](const std::string& prefix) {
    return pair.store.Table().scan(prefix)->size();
  };
  CHECK(rows("journal/") < 16);
  CHECK(pair.store.Objects().list("segment/")->size() <= 17);
  pair.Kill(0);
  pair.AdvancePastLease();
  for (int i = 0; i < 6; ++i) {
    CHECK(pair.members[0]->programs->Maintain().ok());
  }
  CHECK(rows("fence/") == 1);
  CHECK(rows("journal/") == 0);
  CHECK(pair.ReadHistory().size() == 50);
  CHECK(pair.store.Objects().list("segment/")->size() == 1);
}

}  // namespace
}  // namespace knapweed
