#include <doctest/doctest.h>

#include <set>

#include "absl/strings/str_cat.h"
#include "tests/process/scenarios.h"

namespace knapweed {
namespace {

using nlohmann::json;

constexpr size_t kPrograms = 12;
constexpr size_t kBookings = 9;
constexpr Ms kLimit = Seconds(25);
// How long an engine keeps a paused program's cache without a renewal.
constexpr Ms kPinLease = Seconds(30);
// By then the calls of a scenario have reached their upstreams.
constexpr Ms kUnderWay{500};

// Slow enough that every call is under way when the fault comes.
const json& SlowEngines() {
  static const auto* const kOptions = new json{{"decode_tokens_per_s", 16}};
  return *kOptions;
}

// After the death of an owner alone every outcome can be found, since the
// sidecar lives and remembers.
const std::set<BookingEnd> kAnswered = {BookingEnd::kAnswered};
// After the death of a sidecar an outcome may stay unknown for good.
const std::set<BookingEnd> kSettled = {BookingEnd::kAnswered,
                                       BookingEnd::kUnknown};

// Each entry in turn, so that whoever owned the programs has died once.
void KilledBetweenTurns(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  ProgramSet programs(context, "between", kPrograms);
  programs.SayAll("first", kLimit);
  for (size_t i = 0; i < fleet.entry_count(); ++i) {
    programs.SayAll(absl::StrCat("before ", i), kLimit);
    fleet.entry(i).process->Kill();
    const Ms took = programs.SayAll(absl::StrCat("after ", i), kLimit, i + 1);
    PrintFigure("owner_death_to_next_answer", took.Seconds(), "s");
    fleet.entry(i).process->Restart();
    programs.SayAll(absl::StrCat("restarted ", i), kLimit, i);
  }
}

void KilledInTurn(ScenarioContext& context) {
  ProgramSet programs(context, "in-turn", kPrograms);
  programs.SayAll("first", kLimit);
  programs.SayAll("second", kLimit, 1, [&] {
    SleepFor(kUnderWay);
    context.fleet.entry(0).process->Kill();
  });
  programs.SayAll("third", kLimit);
}

// The sidecar has the call, and its upstream has not: it is paused meanwhile.
void KilledBeforeDispatch(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  DaemonProcess& desk = fleet.sidecar(fleet.options().engines);
  desk.process->Pause();
  BookAll(context, "undispatched", kBookings, kLimit, kSettled, [&] {
    SleepFor(kUnderWay);
    fleet.entry(0).process->Kill();
    SleepFor(Seconds(1));
    desk.process->Resume();
  });
}

void KilledBeforeOutcome(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  fleet.service(0).Control({{"delay_after", 1500}});
  BookAll(context, "no-outcome", kBookings, kLimit, kAnswered, [&] {
    SleepFor(kUnderWay);
    fleet.entry(0).process->Kill();
  });
}

void PausedAcrossTakeover(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  ProgramSet programs(context, "paused", kPrograms);
  programs.SayAll("first", kLimit);
  fleet.service(0).Control({{"delay_after", 800}});
  BookAll(context, "paused", kBookings, kLimit, kSettled, [&] {
    SleepFor(Ms{300});
    fleet.entry(0).process->Pause();
    programs.SayAll("second", kLimit);
    SleepFor(fleet.options().lease);
    fleet.entry(0).process->Resume();
    programs.SayAll("third", kLimit, 0);
  });
  programs.SayAll("fourth", kLimit, 0);
}

void SidecarRestarted(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  ProgramSet programs(context, "sidecar", kPrograms);
  programs.SayAll("first", kLimit);
  fleet.service(0).Control({{"delay_after", 800}});
  BookAll(context, "sidecar", kBookings, kLimit, kSettled, [&] {
    SleepFor(Ms{300});
    fleet.sidecar(fleet.options().engines).process->Kill();
    fleet.sidecar(0).process->Kill();
    programs.SayAll("second", kLimit);
    fleet.sidecar(fleet.options().engines).process->Restart();
    fleet.sidecar(0).process->Restart();
  });
  programs.SayAll("third", kLimit);
  BookAll(context, "after", 2, kLimit, kAnswered);
}

void EntryAndSidecarKilled(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  ProgramSet programs(context, "both", kPrograms);
  programs.SayAll("first", kLimit);
  fleet.service(0).Control({{"delay_after", 800}});
  BookAll(context, "both", kBookings, kLimit, kSettled, [&] {
    SleepFor(Ms{300});
    fleet.entry(0).process->Kill();
    fleet.sidecar(fleet.options().engines).process->Kill();
    fleet.sidecar(fleet.options().engines).process->Restart();
    programs.SayAll("second", kLimit);
    fleet.entry(0).process->Restart();
  });
  programs.SayAll("third", kLimit, 0);
}

void KilledTwice(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  ProgramSet programs(context, "twice", kPrograms);
  programs.SayAll("first", kLimit);
  fleet.entry(0).process->Kill();
  programs.SayAll("second", kLimit);
  fleet.entry(0).process->Restart();
  programs.SayAll("third", kLimit, 0);
  fleet.entry(0).process->Kill();
  programs.SayAll("fourth", kLimit);
  fleet.entry(0).process->Restart();
  fleet.entry(1).process->Kill();
  programs.SayAll("fifth", kLimit, 2);
}

size_t Holds(Fleet& fleet) {
  size_t n = 0;
  for (size_t i = 0; i < fleet.options().engines; ++i) {
    n += fleet.engine(i).Get("/stats")["holds"].size();
  }
  return n;
}

// Nobody is left who knows the programs, and one sidecar forgot its holds.
void HoldsFreed(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  ProgramSet programs(context, "held", kPrograms);
  programs.SayAll("first", kLimit);
  CHECK(WaitUntil(kLimit, [&] { return Holds(fleet) > 0; }));
  for (size_t i = 0; i < fleet.entry_count(); ++i) {
    fleet.entry(i).process->Kill();
  }
  fleet.sidecar(0).process->Kill();
  fleet.sidecar(0).process->Restart();
  const Clock clock = Clock::Steady();
  const Ms start = clock.Now();
  CHECK(WaitUntil(kPinLease + Seconds(5), [&] { return Holds(fleet) == 0; }));
  PrintFigure("holds_freed_after_deaths", (clock.Now() - start).Seconds(), "s");
}

}  // namespace

std::span<const Scenario> OwnerScenarios() {
  static const auto* const kRows = new std::vector<Scenario>{
      {"owner_killed_between_turns", KilledBetweenTurns},
      {"owner_killed_in_turn", KilledInTurn, {.engine_options = SlowEngines()}},
      {"owner_killed_before_dispatch", KilledBeforeDispatch},
      {"owner_killed_before_outcome", KilledBeforeOutcome},
      {"owner_paused_across_takeover", PausedAcrossTakeover},
      {"sidecar_killed_and_restarted", SidecarRestarted},
      {"entry_and_sidecar_killed", EntryAndSidecarKilled},
      {"owner_killed_twice", KilledTwice},
      {"holds_freed_after_deaths", HoldsFreed},
  };
  return *kRows;
}

}  // namespace knapweed
