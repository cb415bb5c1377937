#include <doctest/doctest.h>

#include <set>

#include "absl/strings/str_cat.h"
#include "tests/process/scenarios.h"

namespace knapweed {
namespace {

using nlohmann::json;

constexpr size_t kPrograms = 9;
constexpr size_t kBookings = 6;
constexpr Ms kLimit = Seconds(25);
constexpr Ms kBookingDeadline = Seconds(3);
const std::set<BookingEnd> kAnswered = {BookingEnd::kAnswered};

// Each round meets the fault anew, while turns and bookings run.
void WithCommitFault(ScenarioContext& context, const std::string& fault) {
  Fleet& fleet = context.fleet;
  ProgramSet programs(context, fault, kPrograms);
  programs.SayAll("first", kLimit);
  for (int round = 0; round < 4; ++round) {
    const auto disturb = [&] {
      for (int i = 0; i < 3; ++i) {
        fleet.platform().Control({{fault, 2}});
        SleepFor(Ms{150});
      }
    };
    const std::string name = absl::StrCat(fault, "-", round);
    BookAll(context, name, kBookings, kLimit, kAnswered,
            [&] { programs.SayAll(name, kLimit, 0, disturb); });
  }
  fleet.platform().Control({{fault, 0}});
  programs.SayAll("last", kLimit, 0);
}

void AnswersLost(ScenarioContext& context) {
  WithCommitFault(context, "lose_commit_answers");
}

void CommitsLost(ScenarioContext& context) {
  WithCommitFault(context, "lose_commits");
}

void CommitsRefused(ScenarioContext& context) {
  WithCommitFault(context, "fail_commits");
}

void Slow(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  ProgramSet programs(context, "slow", kPrograms);
  programs.SayAll("first", kLimit);
  fleet.platform().Control({{"latency", 200}});
  for (const char* text : {"second", "third", "fourth"}) {
    programs.SayAll(text, kLimit, 0);
  }
  BookAll(context, "slow", kBookings, kLimit, kAnswered);
  fleet.platform().Control({{"latency", 0}});
  programs.SayAll("last", kLimit, 0);
}

void Down(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  const Ms outage = fleet.options().lease * 4;
  ProgramSet programs(context, "outage", kPrograms);
  programs.SayAll("first", kLimit);
  fleet.platform().Control({{"outage", true}});
  const Clock clock = Clock::Steady();
  const Ms end = clock.Now() + outage;
  size_t tried = 0;
  size_t answered = 0;
  while (clock.Now() < end) {
    const std::string text = absl::StrCat("during-", tried);
    for (size_t i = 0; i < fleet.entry_count(); ++i) {
      const std::string program = absl::StrCat("new-", text, "-", i);
      const CallerReply turn =
          SendTurn(fleet, i, "w", program, program, program, false, Seconds(4));
      answered += turn.answered() ? 1 : 0;
      ++tried;
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
              static_cast<double>(answered) / static_cast<double>(tried), "");
  fleet.platform().Control({{"outage", false}});
  programs.SayAll("second", kLimit, 0);
  programs.SayAll("third", kLimit, 1);
  BookAll(context, "after", kBookings, kLimit, kAnswered);
}

// The owner dies while nobody can take over; the takeover comes with the store.
void DownAndOwnerKilled(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  ProgramSet programs(context, "pair", kPrograms);
  programs.SayAll("first", kLimit);
  fleet.platform().Control({{"outage", true}});
  fleet.entry(0).process->Kill();
  SleepFor(fleet.options().lease * 2);
  fleet.platform().Control({{"outage", false}});
  programs.SayAll("second", kLimit);
  fleet.entry(0).process->Restart();
  programs.SayAll("third", kLimit, 0);
}

// One failure domain reaches its peers, but not the store.
void DomainCutOff(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  ProgramSet programs(context, "cut", kPrograms);
  programs.SayAll("first", kLimit);
  BookAll(context, "cut", kBookings, kLimit, kAnswered, [&] {
    fleet.platform().Cut(1, true);
    programs.SayAll("second", kLimit, 0);
  });
  SleepFor(fleet.options().lease * 2);
  programs.SayAll("third", kLimit, 0);
  fleet.platform().Cut(1, false);
  programs.SayAll("fourth", kLimit, 0);
  BookAll(context, "healed", kBookings, kLimit, kAnswered);
}

}  // namespace

std::span<const Scenario> StoreScenarios() {
  static const auto* const kRows = new std::vector<Scenario>{
      {"store_answers_lost", AnswersLost},
      {"store_commits_lost", CommitsLost},
      {"store_commits_refused", CommitsRefused},
      {"store_slow", Slow},
      {"store_down_longer_than_lease", Down},
      {"store_down_and_owner_killed", DownAndOwnerKilled},
      {"domain_cut_off_from_store", DomainCutOff},
  };
  return *kRows;
}

}  // namespace knapweed
