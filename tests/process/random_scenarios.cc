#include <doctest/doctest.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <random>

#include "absl/strings/str_cat.h"
#include "tests/process/scenarios.h"

namespace knapweed {
namespace {

constexpr uint32_t kDefaultSeed = 20261203;
constexpr Ms kFaultDuration = Seconds(22);
constexpr Ms kCallLimit = Seconds(40);
constexpr size_t kPrograms = 8;
constexpr size_t kBookingClients = 4;

// Returns the seed from KNAPWEED_SEED, or the default.
uint32_t Seed() {
  const char* text = std::getenv("KNAPWEED_SEED");
  return text == nullptr
             ? kDefaultSeed
             : static_cast<uint32_t>(std::strtoul(text, nullptr, 10));
}

using Random = std::mt19937;

// Returns a random number from 0 to n - 1.
size_t RandomBelow(Random& random, size_t n) {
  return std::uniform_int_distribution<size_t>(0, n - 1)(random);
}

// Returns a random duration from `low` to `high`, in milliseconds.
Ms RandomDuration(Random& random, int64_t low, int64_t high) {
  return Ms{std::uniform_int_distribution<int64_t>(low, high)(random)};
}

void KillEntry(Fleet& fleet, Random& random) {
  ChildProcess& process =
      *fleet.entry(RandomBelow(random, fleet.entry_count())).process;
  process.Kill();
  SleepFor(RandomDuration(random, 200, 3500));
  process.Restart();
}

void PauseEntry(Fleet& fleet, Random& random) {
  ChildProcess& process =
      *fleet.entry(RandomBelow(random, fleet.entry_count())).process;
  process.Pause();
  SleepFor(RandomDuration(random, 200, 4500));
  process.Resume();
}

void KillSidecar(Fleet& fleet, Random& random) {
  ChildProcess& process =
      *fleet.sidecar(RandomBelow(random, fleet.sidecar_count())).process;
  process.Kill();
  SleepFor(RandomDuration(random, 100, 1500));
  process.Restart();
}

void InjectStoreOutage(Fleet& fleet, Random& random) {
  fleet.platform().Control({{"outage", true}});
  SleepFor(RandomDuration(random, 300, 4000));
  fleet.platform().Control({{"outage", false}});
}

void LoseStoreAnswers(Fleet& fleet, Random& random) {
  fleet.platform().Control({{"lose_commit_answers", 1 + RandomBelow(random, 4)},
                            {"lose_commits", RandomBelow(random, 3)}});
}

void InjectServiceFault(Fleet& fleet, Random& random) {
  fleet.service(0).Control({{"drop_answer_next", RandomBelow(random, 2)},
                            {"drop_before_next", RandomBelow(random, 2)},
                            {"delay_after", 50 * RandomBelow(random, 10)}});
}

struct Fault {
  const char* name;
  void (*inject)(Fleet&, Random&);
};

constexpr Fault kFaults[] = {
    {"kill entry", KillEntry},          {"pause entry", PauseEntry},
    {"kill sidecar", KillSidecar},      {"store outage", InjectStoreOutage},
    {"answers lost", LoseStoreAnswers}, {"service fault", InjectServiceFault},
};

// Injects one random fault after another for kFaultDuration, then sets
// `finished`.
void InjectFaults(Fleet& fleet, Random& random, std::atomic<bool>* finished) {
  const Clock clock = Clock::Steady();
  const Ms end = clock.Now() + kFaultDuration;
  while (clock.Now() < end) {
    const Fault& fault = kFaults[RandomBelow(random, std::size(kFaults))];
    std::printf("fault: %s\n", fault.name);
    fault.inject(fleet, random);
    SleepFor(RandomDuration(random, 100, 1200));
  }
  fleet.platform().Control({{"lose_commit_answers", 0}, {"lose_commits", 0}});
  finished->store(true);
}

// Programs and bookings run while random faults are injected one at a time.
void RandomFaults(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  Random random(Seed());
  std::printf("seed %u\n", Seed());
  std::atomic<bool> finished{false};
  std::atomic<size_t> turns{0};
  std::atomic<size_t> bookings{0};
  const auto send_turns = [&](size_t i) {
    ProgramCaller caller(fleet, absl::StrCat("random-", i),
                         i % 2 == 0 ? "w" : "v");
    for (size_t n = 0; !finished.load(); ++n) {
      const bool answered = caller.SendUntilAnswered(
          absl::StrCat("turn ", n), kCallLimit, i + n, n % 2 == 1);
      CAPTURE(caller.program());
      CAPTURE(caller.last_reply().text);
      CHECK(answered);
      if (!answered) return;
      ++turns;
    }
  };
  const auto send_bookings = [&](size_t i) {
    for (size_t n = 0; !finished.load(); ++n) {
      context.RecordOutcome(BookUntilSettled(
          fleet, absl::StrCat("random-", i, "-", n), kCallLimit, i + n));
      ++bookings;
    }
  };
  const auto work = [&](size_t i) {
    if (i < kPrograms) {
      send_turns(i);
    } else {
      send_bookings(i - kPrograms);
    }
  };
  RunConcurrently(kPrograms + kBookingClients, work,
                  [&] { InjectFaults(fleet, random, &finished); });
  PrintFigure("random_turns", static_cast<double>(turns.load()), "turns");
  PrintFigure("random_bookings", static_cast<double>(bookings.load()),
              "bookings");
  CHECK(turns.load() > 0);
}

}  // namespace

std::span<const Scenario> RandomScenarios() {
  static const auto* const kScenarios =
      new std::vector<Scenario>{{"random_faults", RandomFaults}};
  return *kScenarios;
}

}  // namespace knapweed
