#include <doctest/doctest.h>

#include <set>

#include "absl/strings/str_cat.h"
#include "tests/process/scenarios.h"

namespace knapweed {
namespace {

using nlohmann::json;

constexpr size_t kPrograms = 12;
constexpr size_t kBookings = 9;
constexpr Ms kAnswerLimit = Seconds(25);
// Time for which a paused program's cache stays pinned without a renewal.
constexpr Ms kPinLease = Seconds(30);
// Time for the calls of a scenario to reach their upstreams.
constexpr Ms kDispatchTime{500};

// Slow enough that every call is still running when the fault is injected.
const json& SlowEngineOptions() {
  static const auto* const kOptions = new json{{"decode_tokens_per_s", 16}};
  return *kOptions;
}

// If only an owner dies, every outcome can be recovered, since the sidecar
// retains it.
const std::set<BookingOutcome> kAnsweredOnly = {BookingOutcome::kAnswered};
// If a sidecar dies, an outcome may stay unknown permanently.
const std::set<BookingOutcome> kAnsweredOrUnknown = {BookingOutcome::kAnswered,
                                                     BookingOutcome::kUnknown};

// Kills each entry in turn, so that every owner of a program is killed once.
void KillOwnerBetweenTurns(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  ProgramSet programs(context, "between", kPrograms);
  programs.SendAll("first", kAnswerLimit);
  for (size_t i = 0; i < fleet.entry_count(); ++i) {
    programs.SendAll(absl::StrCat("before ", i), kAnswerLimit);
    fleet.entry(i).process->Kill();
    const Ms elapsed =
        programs.SendAll(absl::StrCat("after ", i), kAnswerLimit, i + 1);
    PrintFigure("owner_death_to_next_answer", elapsed.Seconds(), "s");
    fleet.entry(i).process->Restart();
    programs.SendAll(absl::StrCat("restarted ", i), kAnswerLimit, i);
  }
}

// The owner dies while turns of its programs run.
void KillOwnerInTurn(ScenarioContext& context) {
  ProgramSet programs(context, "in-turn", kPrograms);
  programs.SendAll("first", kAnswerLimit);
  programs.SendAll("second", kAnswerLimit, 1, [&] {
    SleepFor(kDispatchTime);
    context.fleet.entry(0).process->Kill();
  });
  programs.SendAll("third", kAnswerLimit);
}

// The owner dies after it has sent the calls to the sidecar and before the
// upstream has received them: the sidecar is paused until after the death.
void KillOwnerBeforeDispatch(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  DaemonProcess& service_sidecar = fleet.sidecar(fleet.options().engines);
  service_sidecar.process->Pause();
  BookAll(context, "undispatched", kBookings, kAnswerLimit, kAnsweredOrUnknown,
          [&] {
            SleepFor(kDispatchTime);
            fleet.entry(0).process->Kill();
            SleepFor(Seconds(1));
            service_sidecar.process->Resume();
          });
}

// The owner dies after the upstream has run the calls and before it answers.
void KillOwnerBeforeOutcome(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  fleet.service(0).Control({{"delay_after", 1500}});
  BookAll(context, "no-outcome", kBookings, kAnswerLimit, kAnsweredOnly, [&] {
    SleepFor(kDispatchTime);
    fleet.entry(0).process->Kill();
  });
}

// The owner is paused for longer than its lease, so that others take over its
// programs, and then resumes with its outdated state.
void PauseOwnerAcrossTakeover(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  ProgramSet programs(context, "paused", kPrograms);
  programs.SendAll("first", kAnswerLimit);
  fleet.service(0).Control({{"delay_after", 800}});
  BookAll(context, "paused", kBookings, kAnswerLimit, kAnsweredOrUnknown, [&] {
    SleepFor(Ms{300});
    fleet.entry(0).process->Pause();
    programs.SendAll("second", kAnswerLimit);
    SleepFor(fleet.options().lease);
    fleet.entry(0).process->Resume();
    programs.SendAll("third", kAnswerLimit, 0);
  });
  programs.SendAll("fourth", kAnswerLimit, 0);
}

// One sidecar of an engine and one of a service die while calls run.
void KillAndRestartSidecar(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  ProgramSet programs(context, "sidecar", kPrograms);
  programs.SendAll("first", kAnswerLimit);
  fleet.service(0).Control({{"delay_after", 800}});
  BookAll(context, "sidecar", kBookings, kAnswerLimit, kAnsweredOrUnknown, [&] {
    SleepFor(Ms{300});
    fleet.sidecar(fleet.options().engines).process->Kill();
    fleet.sidecar(0).process->Kill();
    programs.SendAll("second", kAnswerLimit);
    fleet.sidecar(fleet.options().engines).process->Restart();
    fleet.sidecar(0).process->Restart();
  });
  programs.SendAll("third", kAnswerLimit);
  BookAll(context, "after", 2, kAnswerLimit, kAnsweredOnly);
}

// An entry and the sidecar of a service die at the same time.
void KillEntryAndSidecar(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  ProgramSet programs(context, "both", kPrograms);
  programs.SendAll("first", kAnswerLimit);
  fleet.service(0).Control({{"delay_after", 800}});
  BookAll(context, "both", kBookings, kAnswerLimit, kAnsweredOrUnknown, [&] {
    SleepFor(Ms{300});
    fleet.entry(0).process->Kill();
    fleet.sidecar(fleet.options().engines).process->Kill();
    fleet.sidecar(fleet.options().engines).process->Restart();
    programs.SendAll("second", kAnswerLimit);
    fleet.entry(0).process->Restart();
  });
  programs.SendAll("third", kAnswerLimit, 0);
}

// An entry dies again after it has rejoined, and then another entry dies.
void KillOwnerTwice(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  ProgramSet programs(context, "twice", kPrograms);
  programs.SendAll("first", kAnswerLimit);
  fleet.entry(0).process->Kill();
  programs.SendAll("second", kAnswerLimit);
  fleet.entry(0).process->Restart();
  programs.SendAll("third", kAnswerLimit, 0);
  fleet.entry(0).process->Kill();
  programs.SendAll("fourth", kAnswerLimit);
  fleet.entry(0).process->Restart();
  fleet.entry(1).process->Kill();
  programs.SendAll("fifth", kAnswerLimit, 2);
}

// Returns the number of caches that the engines hold for paused programs.
size_t CountHolds(Fleet& fleet) {
  size_t n = 0;
  for (size_t i = 0; i < fleet.options().engines; ++i) {
    n += fleet.engine(i).Get("/stats")["holds"].size();
  }
  return n;
}

// All entries die, and one sidecar loses its list of holds in a restart: all
// held caches must be freed once the pin lease has expired.
void ExpectHoldsFreedAfterDeaths(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  ProgramSet programs(context, "held", kPrograms);
  programs.SendAll("first", kAnswerLimit);
  CHECK(WaitUntil(kAnswerLimit, [&] { return CountHolds(fleet) > 0; }));
  for (size_t i = 0; i < fleet.entry_count(); ++i) {
    fleet.entry(i).process->Kill();
  }
  fleet.sidecar(0).process->Kill();
  fleet.sidecar(0).process->Restart();
  const Clock clock = Clock::Steady();
  const Ms start = clock.Now();
  CHECK(WaitUntil(kPinLease + Seconds(5),
                  [&] { return CountHolds(fleet) == 0; }));
  PrintFigure("holds_freed_after_deaths", (clock.Now() - start).Seconds(), "s");
}

}  // namespace

std::span<const Scenario> OwnerScenarios() {
  static const auto* const kScenarios = new std::vector<Scenario>{
      {"owner_killed_between_turns", KillOwnerBetweenTurns},
      {"owner_killed_in_turn",
       KillOwnerInTurn,
       {.engine_options = SlowEngineOptions()}},
      {"owner_killed_before_dispatch", KillOwnerBeforeDispatch},
      {"owner_killed_before_outcome", KillOwnerBeforeOutcome},
      {"owner_paused_across_takeover", PauseOwnerAcrossTakeover},
      {"sidecar_killed_and_restarted", KillAndRestartSidecar},
      {"entry_and_sidecar_killed", KillEntryAndSidecar},
      {"owner_killed_twice", KillOwnerTwice},
      {"holds_freed_after_deaths", ExpectHoldsFreedAfterDeaths},
  };
  return *kScenarios;
}

}  // namespace knapweed
