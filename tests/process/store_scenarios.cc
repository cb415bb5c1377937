#include <doctest/doctest.h>

#include <set>

#include "absl/strings/str_cat.h"
#include "tests/process/scenarios.h"

namespace knapweed {
namespace {

using nlohmann::json;

constexpr size_t kPrograms = 9;
constexpr size_t kBookings = 6;
constexpr Ms kAnswerLimit = Seconds(25);
constexpr Ms kBookingDeadline = Seconds(3);
const std::set<BookingOutcome> kAnsweredOnly = {BookingOutcome::kAnswered};

// Injects the control field `fault` repeatedly in each round, while turns and
// bookings run.
void WithCommitFault(ScenarioContext& context, const std::string& fault) {
  Fleet& fleet = context.fleet;
  ProgramSet programs(context, fault, kPrograms);
  programs.SendAll("first", kAnswerLimit);
  for (int round = 0; round < 4; ++round) {
    const auto inject_faults = [&] {
      for (int i = 0; i < 3; ++i) {
        fleet.platform().Control({{fault, 2}});
        SleepFor(Ms{150});
      }
    };
    const std::string name = absl::StrCat(fault, "-", round);
    BookAll(context, name, kBookings, kAnswerLimit, kAnsweredOnly,
            [&] { programs.SendAll(name, kAnswerLimit, 0, inject_faults); });
  }
  fleet.platform().Control({{fault, 0}});
  programs.SendAll("last", kAnswerLimit, 0);
}

// Commits take effect, but their answers are lost.
void LoseCommitAnswers(ScenarioContext& context) {
  WithCommitFault(context, "lose_commit_answers");
}

// Commits are lost before they take effect, and the entry cannot tell.
void LoseCommits(ScenarioContext& context) {
  WithCommitFault(context, "lose_commits");
}

// Commits fail with an error and change nothing.
void RefuseCommits(ScenarioContext& context) {
  WithCommitFault(context, "fail_commits");
}

// Each operation of the store is delayed.
void SlowStore(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  ProgramSet programs(context, "slow", kPrograms);
  programs.SendAll("first", kAnswerLimit);
  fleet.platform().Control({{"latency", 200}});
  for (const char* text : {"second", "third", "fourth"}) {
    programs.SendAll(text, kAnswerLimit, 0);
  }
  BookAll(context, "slow", kBookings, kAnswerLimit, kAnsweredOnly);
  fleet.platform().Control({{"latency", 0}});
  programs.SendAll("last", kAnswerLimit, 0);
}

// The store is down for several leases: no booking may run, and all calls are
// answered again after the outage.
void StoreDownLongerThanLease(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  const Ms outage = fleet.options().lease * 4;
  ProgramSet programs(context, "outage", kPrograms);
  programs.SendAll("first", kAnswerLimit);
  fleet.platform().Control({{"outage", true}});
  const Clock clock = Clock::Steady();
  const Ms end = clock.Now() + outage;
  size_t attempts = 0;
  size_t answered = 0;
  while (clock.Now() < end) {
    const std::string text = absl::StrCat("during-", attempts);
    for (size_t i = 0; i < fleet.entry_count(); ++i) {
      const std::string program = absl::StrCat("new-", text, "-", i);
      const CallerReply turn =
          SendTurn(fleet, i, "w", program, program, program, false, Seconds(4));
      answered += turn.answered() ? 1 : 0;
      ++attempts;
      const std::string reference = absl::StrCat("outage-", text, "-", i);
      const CallerReply booking =
          SendBooking(fleet, i, reference, Seconds(8), kBookingDeadline);
      CAPTURE(booking.code);
      CHECK_FALSE(booking.answered());
      CHECK(booking.run == "not_run");
      if (booking.run == "not_run") context.not_run.insert(reference);
    }
    SleepFor(Ms{200});
  }
  PrintFigure("outage_turns_answered_share",
              static_cast<double>(answered) / static_cast<double>(attempts),
              "");
  fleet.platform().Control({{"outage", false}});
  programs.SendAll("second", kAnswerLimit, 0);
  programs.SendAll("third", kAnswerLimit, 1);
  BookAll(context, "after", kBookings, kAnswerLimit, kAnsweredOnly);
}

// The owner dies while the store is down, when no entry can take over its
// programs. The takeover follows once the store is back.
void StoreDownAndOwnerKilled(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  ProgramSet programs(context, "pair", kPrograms);
  programs.SendAll("first", kAnswerLimit);
  fleet.platform().Control({{"outage", true}});
  fleet.entry(0).process->Kill();
  SleepFor(fleet.options().lease * 2);
  fleet.platform().Control({{"outage", false}});
  programs.SendAll("second", kAnswerLimit);
  fleet.entry(0).process->Restart();
  programs.SendAll("third", kAnswerLimit, 0);
}

// One failure domain can reach its peers, but not the store.
void CutDomainOffFromStore(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  ProgramSet programs(context, "cut", kPrograms);
  programs.SendAll("first", kAnswerLimit);
  BookAll(context, "cut", kBookings, kAnswerLimit, kAnsweredOnly, [&] {
    fleet.platform().SetCut(1, true);
    programs.SendAll("second", kAnswerLimit, 0);
  });
  SleepFor(fleet.options().lease * 2);
  programs.SendAll("third", kAnswerLimit, 0);
  fleet.platform().SetCut(1, false);
  programs.SendAll("fourth", kAnswerLimit, 0);
  BookAll(context, "healed", kBookings, kAnswerLimit, kAnsweredOnly);
}

}  // namespace

std::span<const Scenario> StoreScenarios() {
  static const auto* const kScenarios = new std::vector<Scenario>{
      {"store_answers_lost", LoseCommitAnswers},
      {"store_commits_lost", LoseCommits},
      {"store_commits_refused", RefuseCommits},
      {"store_slow", SlowStore},
      {"store_down_longer_than_lease", StoreDownLongerThanLease},
      {"store_down_and_owner_killed", StoreDownAndOwnerKilled},
      {"domain_cut_off_from_store", CutDomainOffFromStore},
  };
  return *kScenarios;
}

}  // namespace knapweed
