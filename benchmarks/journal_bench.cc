#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "knapweed/base/ids.h"
#include "knapweed/journal/journal.h"
#include "knapweed/membership/rows.h"
#include "standins/memory_store.h"

namespace knapweed {
namespace {

/// Text of a turn of 250 tokens at 4 bytes each.
constexpr size_t kTurnBytes = 1000;
constexpr Ms kRunTime = Ms{1500};

journal::RecordT MakeTurnRecord(uint64_t n) {
  journal::RecordT record;
  record.workspace = "w";
  record.program = "p" + std::to_string(n % 100);
  record.sequence = n;
  record.added = {std::string(kTurnBytes, 'x')};
  return record;
}

/// A started journal on an in-memory store whose operations take `latency`.
struct JournalFixture {
  explicit JournalFixture(Ms latency) {
    const std::string incarnation = RandomHexId();
    store.Table().commit({{}, {{FenceKey(incarnation), "open"}}}).IgnoreError();
    store.SetFaults({.latency = latency});
    JournalOptions options;
    options.incarnation = incarnation;
    journal = std::make_unique<Journal>(store.Table(), store.Objects(), clock,
                                        options);
    journal->Start();
  }

  MemoryStore store;
  Clock clock = Clock::Steady();
  std::unique_ptr<Journal> journal;
};

/// Measures store writes per turn by the rate of turns; each store operation
/// takes 5 ms.
void WritesPerTurn(benchmark::State& state) {
  const int64_t rate = state.range(0);
  for (auto unused : state) {
    JournalFixture fixture(Ms{5});
    const Ms start = fixture.clock.Now();
    uint64_t n = 0;
    while (fixture.clock.Now() - start < kRunTime) {
      const Ms elapsed = fixture.clock.Now() - start;
      const auto due = static_cast<uint64_t>(elapsed.count * rate / 1000);
      for (; n < due; ++n)
        fixture.journal->Append({MakeTurnRecord(n)}).IgnoreError();
      SleepFor(Ms{1});
    }
    fixture.journal->Wait(fixture.journal->end(), start + kRunTime * 2)
        .IgnoreError();
    const JournalProgress progress = fixture.journal->Progress();
    state.counters["writes_per_turn"] = static_cast<double>(progress.commits) /
                                        static_cast<double>(progress.records);
    state.counters["commits_per_s"] =
        static_cast<double>(progress.commits) / kRunTime.Seconds();
  }
}
BENCHMARK(WritesPerTurn)
    ->ArgName("turns_per_s")
    ->Arg(10)
    ->Arg(15)
    ->Arg(20)
    ->Arg(25)
    ->Arg(30)
    ->Arg(100)
    ->Arg(300)
    ->Arg(1000)
    ->Arg(3000)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

/// Measures how long the end of a turn waits until it is durable, while other
/// turns are appended concurrently.
void DurableTurn(benchmark::State& state) {
  JournalFixture fixture(Ms{state.range(0)});
  const int64_t rate = state.range(1);
  uint64_t n = 0;
  double total_ms = 0;
  Ms last_append = fixture.clock.Now();
  for (auto unused : state) {
    // Other turns that are due since the last append.
    const Ms now = fixture.clock.Now();
    const auto due =
        static_cast<uint64_t>((now - last_append).count * rate / 1000);
    last_append = now;
    for (uint64_t i = 0; i < due; ++i) {
      fixture.journal->Append({MakeTurnRecord(++n)}).IgnoreError();
    }
    const auto position = fixture.journal->Append({MakeTurnRecord(++n)});
    fixture.journal->Wait(*position, now + Seconds(5)).IgnoreError();
    total_ms += static_cast<double>((fixture.clock.Now() - now).count);
    SleepFor(Ms{17});
  }
  state.counters["durable_ms"] =
      total_ms / static_cast<double>(state.iterations());
}
BENCHMARK(DurableTurn)
    ->ArgNames({"store_ms", "other_turns_per_s"})
    ->Args({2, 0})
    ->Args({10, 0})
    ->Args({50, 0})
    ->Args({2, 1000})
    ->Args({10, 1000})
    ->Args({50, 1000})
    ->Iterations(30)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace knapweed
