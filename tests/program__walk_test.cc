#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "tests/member_cluster.h"

namespace knapweed {
namespace {

constexpr int kPrograms = 6;
constexpr int kSteps = 300;
constexpr size_t kMaxMembers = 3;

/// Stands in for all sidecars: refuses old epochs, records attempts, and counts
/// how often each request ran.
struct FakeSidecar {
  std::map<uint32_t, Epoch> min_epochs;
  std::map<std::string, std::string> ran;  // request by attempt

  bool Fence(PartitionId partition, Epoch epoch) {
    if (epoch < min_epochs[partition.n]) return false;
    min_epochs[partition.n] = epoch;
    return true;
  }
  bool Run(PartitionId partition, Epoch epoch, const std::string& attempt,
           const std::string& request) {
    if (!Fence(partition, epoch)) return false;
    ran.emplace(attempt, request);
    return true;
  }
  int CountOf(const std::string& request) const {
    int n = 0;
    for (const auto& [attempt, it] : ran) n += it == request;
    return n;
  }
};

/// The turns and outcomes of one program as its callers observed them. A turn
/// in `possible` ran and may or may not have been recorded.
struct ExpectedProgram {
  std::vector<std::string> acknowledged;
  std::set<std::string> possible;
  std::map<std::string, std::string> answers;  // answer by request
};

/// A call between `Begin` and `Finish`.
struct OpenCall {
  TestMember* member;
  TurnHold hold;
  int program;
  std::string request;
  std::string attempt;
};

/// Random sequence of calls, crashes, pauses, planned stops and store faults,
/// chosen by a seeded generator. Runs with the same seed still differ in
/// timing, since `RunningClock` also advances with real time. The checks use
/// only what the callers and the sidecar observed.
class RandomWalk {
 public:
  explicit RandomWalk(uint32_t seed) : random_(seed) {
    for (size_t i = 0; i < kMaxMembers; ++i) StartMember();
    for (int i = 0; i < 6; ++i) cluster_.Step();
  }

  void Run() {
    for (int i = 0; i < kSteps; ++i) {
      CAPTURE(i);
      TakeStep();
    }
    Recover();
    for (int p = 0; p < kPrograms; ++p) CheckFinalHistory(p);
    for (const auto& it : sidecar_.ran) {
      CAPTURE(it.second);
      CHECK(sidecar_.CountOf(it.second) == 1);
    }
  }

  int finished() const { return finished_; }
  int moves() const { return moves_; }

 private:
  int Pick(int n) {
    return std::uniform_int_distribution<int>(0, n - 1)(random_);
  }

  void StartMember() {
    TestMember& member = cluster_.Add("m" + std::to_string(++next_member_));
    // Start fails during a store outage.
    if (!member.Start().ok()) cluster_.members.pop_back();
  }

  void TakeStep() {
    const int action = Pick(100);
    if (action < 40) return BeginCall();
    if (action < 62) return FinishCall();
    if (action < 76) return StepRandomMembers();
    if (action < 80) return cluster_.AdvanceTime(Seconds(1 + Pick(8)));
    if (action < 84) return KillOne();
    if (action < 88) return StopOne();
    if (action < 91) return InjectFaults();
    if (cluster_.members.size() < kMaxMembers) return StartMember();
  }

  void StepRandomMembers() {
    cluster_.time.clock.Advance(Ms{Pick(900)});
    // Ends the faults with probability 1/4, so that they last several rounds.
    if (Pick(4) == 0) cluster_.store.SetFaults({});
    for (auto& it : cluster_.members) {
      if (Pick(4) == 0) continue;
      it->Step();
      if (Pick(3) == 0) it->programs->Maintain().IgnoreError();
    }
  }

  void InjectFaults() {
    StoreFaults faults;
    const int kind = Pick(7);
    if (kind == 0) faults.lose_commit_answers = 1 + Pick(3);
    if (kind == 1) faults.lose_commits = 1 + Pick(3);
    if (kind == 2) faults.fail_commits = 1 + Pick(3);
    if (kind == 3) faults.outage = true;
    cluster_.store.SetFaults(faults);
  }

  void KillOne() {
    if (cluster_.members.size() < 2) return;
    const size_t n = Pick(static_cast<int>(cluster_.members.size()));
    DropCallsOf(cluster_.members[n].get());
    cluster_.Kill(n);
    ++moves_;
  }

  void StopOne() {
    if (cluster_.members.size() < 2) return;
    const size_t n = Pick(static_cast<int>(cluster_.members.size()));
    cluster_.members[n]->membership->Leave(Ms{200}).IgnoreError();
    // Its open calls now finish too late; then the process ends.
    for (OpenCall& it : open_) {
      if (it.member == cluster_.members[n].get()) Finish(it);
    }
    DropCallsOf(cluster_.members[n].get());
    cluster_.Kill(n);
    ++moves_;
  }

  void DropCallsOf(const TestMember* member) {
    std::erase_if(open_, [&](const OpenCall& it) {
      // An attempt that ran there without being recorded may be recorded by the
      // next owner, or its outcome stays unknown.
      return it.member == member;
    });
  }

  static ProgramKey KeyOf(int program) {
    return {WorkspaceId("w"), ProgramId("p" + std::to_string(program))};
  }

  void BeginCall() {
    const int program = Pick(kPrograms);
    const PartitionId id = PartitionOf(KeyOf(program), TestMember::kPartitions);
    // Picks any member that acts as the owner, also one whose lease has lapsed.
    const size_t count = cluster_.members.size();
    const size_t first = Pick(static_cast<int>(count));
    TestMember* member = nullptr;
    std::optional<PartitionOwner> owner;
    for (size_t i = 0; i < count && member == nullptr; ++i) {
      TestMember* it = cluster_.members[(first + i) % count].get();
      owner = it->membership->OwnerOf(id);
      if (owner && (owner->self || owner->self_lease_expired)) member = it;
    }
    if (member == nullptr) return;
    // The caller sends a new request, or one with one of the last two numbers,
    // which is a retry if this program had it.
    const int number = std::max(0, next_request_ - Pick(3));
    if (number == next_request_) ++next_request_;
    const std::string request =
        "p" + std::to_string(program) + "-" + std::to_string(number);
    const CallIdentity call{KeyOf(program), ProgramId(""), request, 1};
    BeginResult begun =
        member->programs->Begin(call, {}, cluster_.time.clock.Now() + Ms{1});
    if (auto* outcome = std::get_if<CallOutcome>(&begun)) {
      CheckAnswer(program, request, outcome->body);
    }
    if (auto* hold = std::get_if<TurnHold>(&begun)) {
      // An owner whose lease lapsed may not have read yet that its partition
      // was taken over. Calls that it starts then must fail to be recorded.
      if (owner->self) CheckTurns(program, hold->history(), id, hold->epoch());
      const bool stale = hold->epoch() < epochs_[id.n];
      Dispatch({member, std::move(*hold), program, request, ""}, stale);
    }
  }

  /// Resolves an open intent, or records a new one and runs the attempt, as an
  /// entry does between `Begin` and `Finish`.
  void Dispatch(OpenCall call, bool stale) {
    const PartitionId id =
        PartitionOf(KeyOf(call.program), TestMember::kPartitions);
    const Epoch epoch = call.hold.epoch();
    if (const Intent* intent = call.hold.open_intent()) {
      if (!sidecar_.Fence(id, epoch)) return;
      const auto ran = sidecar_.ran.find(intent->attempt.value);
      if (ran != sidecar_.ran.end()) {
        call.attempt = ran->first;
        open_.push_back(std::move(call));
        return;
      }
    }
    call.attempt = "t" + std::to_string(++next_attempt_);
    Intent intent;
    intent.attempt = AttemptId(call.attempt);
    if (!call.member->programs->RecordIntent(call.hold, intent).ok()) return;
    CHECK(!stale);
    // Some owners pause here for up to 10 s, long enough to lose the program.
    if (Pick(6) == 0) cluster_.AdvanceTime(Seconds(5) * Pick(3));
    if (!sidecar_.Run(id, epoch, call.attempt, call.request)) return;
    open_.push_back(std::move(call));
  }

  void FinishCall() {
    if (open_.empty()) return;
    const size_t n = Pick(static_cast<int>(open_.size()));
    Finish(open_[n]);
    open_.erase(open_.begin() + static_cast<ptrdiff_t>(n));
  }

  void Finish(OpenCall& call) {
    CallOutcome outcome;
    outcome.run = RunState::kRan;
    outcome.body = call.request + "/" + call.attempt;
    outcome.added = {outcome.body};
    const absl::Status status =
        call.member->programs->Finish(std::move(call.hold), outcome);
    ExpectedProgram& expected = expected_programs_[call.program];
    expected.possible.insert(outcome.body);
    if (!status.ok()) return;
    ++finished_;
    expected.acknowledged.push_back(outcome.body);
    CheckAnswer(call.program, call.request, outcome.body);
  }

  void CheckAnswer(int program, const std::string& request,
                   const std::string& answer) {
    CAPTURE(request);
    const auto [it, inserted] =
        expected_programs_[program].answers.emplace(request, answer);
    CHECK(it->second == answer);
  }

  /// Checks that the history has every acknowledged turn once and in order, and
  /// only turns of calls of this program.
  void CheckTurns(int program, const std::vector<HistoryMessage>& history,
                  PartitionId id, Epoch epoch) {
    CAPTURE(program);
    CHECK(epoch >= epochs_[id.n]);
    epochs_[id.n] = epoch;
    const ExpectedProgram& expected = expected_programs_[program];
    const std::string own = "p" + std::to_string(program) + "-";
    std::set<std::string> seen;
    size_t next = 0;
    for (const HistoryMessage& it : history) {
      CAPTURE(it);
      CHECK(it.starts_with(own));
      CHECK(seen.insert(it).second);
      CHECK(expected.possible.contains(it));
      const bool matches = next < expected.acknowledged.size() &&
                           expected.acknowledged[next] == it;
      if (matches) ++next;
    }
    CHECK(next == expected.acknowledged.size());
  }

  void CheckFinalHistory(int program) {
    TestMember* member = cluster_.OwnerOf(KeyOf(program));
    REQUIRE(member != nullptr);
    const CallIdentity call{KeyOf(program), ProgramId(""), "", 1};
    BeginResult begun = member->programs->Begin(
        call, {}, cluster_.time.clock.Now() + Seconds(1));
    REQUIRE(std::holds_alternative<TurnHold>(begun));
    const TurnHold& hold = std::get<TurnHold>(begun);
    CheckTurns(program, hold.history(),
               PartitionOf(KeyOf(program), TestMember::kPartitions),
               hold.epoch());
  }

  void Recover() {
    cluster_.store.SetFaults({});
    while (!open_.empty()) FinishCall();
    cluster_.AdvanceTime(Seconds(40));
  }

  std::mt19937 random_;
  TestCluster cluster_;
  FakeSidecar sidecar_;
  std::map<int, ExpectedProgram> expected_programs_;
  std::map<uint32_t, Epoch> epochs_;
  std::vector<OpenCall> open_;
  int next_member_ = 0;
  int next_request_ = 0;
  int next_attempt_ = 0;
  int finished_ = 0;
  int moves_ = 0;
};

TEST_CASE("random faults never lose, mix up or duplicate turns") {
  int finished = 0;
  int moves = 0;
  for (const uint32_t seed : {1, 2, 3, 4}) {
    CAPTURE(seed);
    RandomWalk walk(seed);
    walk.Run();
    finished += walk.finished();
    moves += walk.moves();
  }
  // Guards against walks that hardly exercise anything.
  CHECK(finished > 80);
  CHECK(moves > 20);
}

}  // namespace
}  // namespace knapweed
