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
constexpr Ms kSpan = Seconds(22);
constexpr Ms kCallLimit = Seconds(40);
constexpr size_t kPrograms = 8;
constexpr size_t kBookers = 4;

uint32_t Seed() {
  const char* text = std::getenv("KNAPWEED_SEED");
  return text == nullptr
             ? kDefaultSeed
             : static_cast<uint32_t>(std::strtoul(text, nullptr, 10));
}

using Random = std::mt19937;

size_t Below(Random& random, size_t n) {
  return std::uniform_int_distribution<size_t>(0, n - 1)(random);
}

Ms Span(Random& random, int64_t low, int64_t high) {
  return Ms{std::uniform_int_distribution<int64_t>(low, high)(random)};
}

void KillEntry(Fleet& fleet, Random& random) {
  ChildProcess& process =
      *fleet.entry(Below(random, fleet.entry_count())).process;
  process.Kill();
  SleepFor(Span(random, 200, 3500));
  process.Restart();
}

void PauseEntry(Fleet& fleet, Random& random) {
  ChildProcess& process =
      *fleet.entry(Below(random, fleet.entry_count())).process;
  process.Pause();
  SleepFor(Span(random, 200, 4500));
  process.Resume();
}

void KillSidecar(Fleet& fleet, Random& random) {
  ChildProcess& process =
      *fleet.sidecar(Below(random, fleet.sidecar_count())).process;
  process.Kill();
  SleepFor(Span(random, 100, 1500));
  process.Restart();
}

void StoreOutage(Fleet& fleet, Random& random) {
  fleet.platform().Control({{"outage", true}});
  SleepFor(Span(random, 300, 4000));
  fleet.platform().Control({{"outage", false}});
}

void StoreAnswersLost(Fleet& fleet, Random& random) {
  fleet.platform().Control({{"lose_commit_answers", 1 + Below(random, 4)},
                            {"lose_commits", Below(random, 3)}});
}

void ServiceFault(Fleet& fleet, Random& random) {
  fleet.service(0).Control({{"drop_answer_next", Below(random, 2)},
                            {"drop_before_next", Below(random, 2)},
                            {"delay_after", 50 * Below(random, 10)}});
}

struct FaultRow {
  const char* name;
  void (*bring)(Fleet&, Random&);
};

constexpr FaultRow kFaults[] = {
    {"kill entry", KillEntry},          {"pause entry", PauseEntry},
    {"kill sidecar", KillSidecar},      {"store outage", StoreOutage},
    {"answers lost", StoreAnswersLost}, {"service fault", ServiceFault},
};

// One fault after another until the time is over.
void BringFaults(Fleet& fleet, Random& random, std::atomic<bool>* over) {
  const Clock clock = Clock::Steady();
  const Ms end = clock.Now() + kSpan;
  while (clock.Now() < end) {
    const FaultRow& row = kFaults[Below(random, std::size(kFaults))];
    std::printf("fault: %s\n", row.name);
    row.bring(fleet, random);
    SleepFor(Span(random, 100, 1200));
  }
  fleet.platform().Control({{"lose_commit_answers", 0}, {"lose_commits", 0}});
  over->store(true);
}

void RandomFaults(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  Random random(Seed());
  std::printf("seed %u\n", Seed());
  std::atomic<bool> over{false};
  std::atomic<size_t> turns{0};
  std::atomic<size_t> bookings{0};
  const auto talk = [&](size_t i) {
    ProgramCaller caller(fleet, absl::StrCat("random-", i),
                         i % 2 == 0 ? "w" : "v");
    for (size_t n = 0; !over.load(); ++n) {
      const bool answered = caller.SayUntilAnswered(
          absl::StrCat("turn ", n), kCallLimit, i + n, n % 2 == 1);
      CAPTURE(caller.program());
      CAPTURE(caller.last().text);
      CHECK(answered);
      if (!answered) return;
      ++turns;
    }
  };
  const auto book = [&](size_t i) {
    for (size_t n = 0; !over.load(); ++n) {
      context.Add(BookUntilSettled(fleet, absl::StrCat("random-", i, "-", n),
                                   kCallLimit, i + n));
      ++bookings;
    }
  };
  const auto work = [&](size_t i) {
    if (i < kPrograms) {
      talk(i);
    } else {
      book(i - kPrograms);
    }
  };
  RunAtOnce(kPrograms + kBookers, work,
            [&] { BringFaults(fleet, random, &over); });
  PrintFigure("random_turns", static_cast<double>(turns.load()), "turns");
  PrintFigure("random_bookings", static_cast<double>(bookings.load()),
              "bookings");
  CHECK(turns.load() > 0);
}

}  // namespace

std::span<const Scenario> RandomScenarios() {
  static const auto* const kRows =
      new std::vector<Scenario>{{"random_faults", RandomFaults}};
  return *kRows;
}

}  // namespace knapweed
