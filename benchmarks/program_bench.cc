#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <ctime>
#include <string>
#include <thread>
#include <vector>

#include "knapweed/journal/log_rows.h"
#include "knapweed/membership/rows.h"
#include "knapweed/program/program_table.h"
#include "standins/memory_store.h"

namespace knapweed {
namespace {

constexpr uint32_t kPartitions = 21;
/// Text of a turn of 100 tokens at 4 bytes each.
constexpr size_t kTurnBytes = 400;
constexpr size_t kTokensPerTurn = 100;
constexpr size_t kBatchBytes = 64 << 10;

ProgramKey MakeProgramKey(int64_t program) {
  return {WorkspaceId("w"), ProgramId("p" + std::to_string(program))};
}

/// A store with the log of a fenced owner "a1", whose partitions "b1" has
/// claimed.
struct TakeoverStore {
  TakeoverStore(int64_t programs, int64_t turns) {
    const TableService table = store.Table();
    std::vector<journal::RecordT> records;
    size_t bytes = 0;
    uint64_t batch = 0;
    const auto write = [&] {
      const std::string text = InlineRowText(PackBatch("a1", ++batch, records));
      table.commit({{}, {{BatchKey("a1", batch), text}}}).IgnoreError();
      records.clear();
      bytes = 0;
    };
    for (int64_t t = 0; t < turns; ++t) {
      for (int64_t p = 0; p < programs; ++p) {
        journal::RecordT record;
        record.workspace = "w";
        record.program = MakeProgramKey(p).program.value;
        record.epoch = 1;
        record.sequence = static_cast<uint64_t>(t) + 1;
        record.run = static_cast<uint8_t>(RunState::kRan);
        record.counts_turn = true;
        record.added = {std::string(kTurnBytes, 'x')};
        records.push_back(std::move(record));
        bytes += kTurnBytes;
        if (bytes > kBatchBytes) write();
      }
    }
    if (!records.empty()) write();
    const std::string fence = FenceKey("a1");
    table.commit({{}, {{fence, "open"}}}).IgnoreError();
    table.commit({{}, {{fence, "fenced"}}}).IgnoreError();
    ClaimPartitions();
  }

  void ClaimPartitions() {
    const TableService table = store.Table();
    table.commit({{}, {{FenceKey("b1"), "open"}}}).IgnoreError();
    const PartitionRow row{
        MemberId("b"), "b1", Epoch{2}, {{"a1", Epoch{1}}, {"b1", Epoch{2}}}};
    for (uint32_t n = 0; n < kPartitions; ++n) {
      const std::string key = PartitionKey(PartitionId{n});
      table.commit({{}, {{key, EncodePartition(row)}}}).IgnoreError();
    }
  }

  uint64_t ReadCount() const {
    const StoreCounts counts = store.Counts();
    return counts.reads + counts.scans + counts.gets;
  }

  MemoryStore store;
};

std::unique_ptr<ProgramTable> MakeTable(const MemoryStore& store,
                                        const Clock& clock) {
  ProgramTableOptions options;
  options.partition_count = kPartitions;
  options.maintenance_interval = Ms{0};
  return std::make_unique<ProgramTable>(store.Table(), store.Objects(), clock,
                                        "b1", options);
}

void AcquireAllPartitions(ProgramTable& table) {
  for (uint32_t n = 0; n < kPartitions; ++n) {
    table.AcquirePartition(PartitionId{n}, Epoch{2}, "a1").IgnoreError();
  }
}

/// Measures the takeover of the partitions of a failed owner: time, store reads
/// and the memory of the recovered programs.
void Recovery(benchmark::State& state) {
  const int64_t programs = state.range(0);
  const int64_t turns = state.range(1);
  const Clock clock = Clock::Steady();
  for (auto unused : state) {
    state.PauseTiming();
    TakeoverStore store(programs, turns);
    auto table = MakeTable(store.store, clock);
    table->Start().IgnoreError();
    const uint64_t reads = store.ReadCount();
    const size_t heap_before = mallinfo2().uordblks;
    state.ResumeTiming();
    AcquireAllPartitions(*table);
    state.PauseTiming();
    state.counters["reads"] = static_cast<double>(store.ReadCount() - reads);
    // Includes the log records read, which are cached for some seconds.
    const size_t heap_growth = mallinfo2().uordblks - heap_before;
    state.counters["bytes_per_program"] =
        static_cast<double>(heap_growth) / static_cast<double>(programs);
    table.reset();
    state.ResumeTiming();
  }
}
BENCHMARK(Recovery)
    ->ArgNames({"programs", "turns"})
    ->ArgsProduct({{50, 100, 200, 400}, {10}})
    ->ArgsProduct({{100}, {20, 40, 80, 160}})
    ->Iterations(3)
    ->Unit(benchmark::kMillisecond);

/// Measures the memory of a program by the length of its history, at the owner
/// that wrote it.
void HistoryMemory(benchmark::State& state) {
  constexpr int kPrograms = 200;
  const int64_t turns = state.range(0);
  const Clock clock = Clock::Steady();
  for (auto unused : state) {
    TakeoverStore store(0, 0);
    auto table = MakeTable(store.store, clock);
    table->Start().IgnoreError();
    AcquireAllPartitions(*table);
    const size_t before = mallinfo2().uordblks;
    size_t stored_bytes = 0;
    std::vector<std::thread> threads;
    threads.reserve(kPrograms);
    for (int p = 0; p < kPrograms; ++p) {
      threads.emplace_back([&, p] {
        for (int64_t t = 0; t < turns; ++t) {
          CallOutcome outcome;
          outcome.run = RunState::kRan;
          outcome.added = {std::string(kTurnBytes, 'x')};
          BeginResult begun =
              table->Begin({MakeProgramKey(p), ProgramId(""), "", 1}, {},
                           clock.Now() + Seconds(5));
          if (auto* hold = std::get_if<TurnHold>(&begun)) {
            table->Finish(std::move(*hold), outcome).IgnoreError();
          }
        }
      });
    }
    for (std::thread& it : threads) it.join();
    // The store is in the same process; its memory is subtracted.
    const auto rows = store.store.Table().scan("journal/b1/");
    for (const Row& it : *rows) stored_bytes += it.value.size() + it.key.size();
    const size_t heap_growth = mallinfo2().uordblks - before;
    size_t read_back_bytes = 0;
    for (const Row& it : *rows) {
      read_back_bytes += it.value.capacity() + it.key.capacity();
    }
    const double owner_bytes =
        static_cast<double>(heap_growth - stored_bytes - read_back_bytes);
    state.counters["bytes_per_program"] = owner_bytes / kPrograms;
    state.counters["bytes_per_1000_tokens"] =
        owner_bytes / kPrograms /
        (static_cast<double>(turns * kTokensPerTurn) / 1000.0);
  }
}
BENCHMARK(HistoryMemory)
    ->ArgName("turns")
    ->Arg(5)
    ->Arg(10)
    ->Arg(20)
    ->Arg(40)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

/// Measures the processor time of the process per durable turn, by the size of
/// the text that the turn adds.
void TurnCpu(benchmark::State& state) {
  constexpr int kThreads = 64;
  constexpr int kTurns = 30;
  const auto bytes = static_cast<size_t>(state.range(0));
  const Clock clock = Clock::Steady();
  TakeoverStore store(0, 0);
  auto table = MakeTable(store.store, clock);
  table->Start().IgnoreError();
  AcquireAllPartitions(*table);
  std::atomic<uint64_t> done{0};
  const std::clock_t start = std::clock();
  for (auto unused : state) {
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (int p = 0; p < kThreads; ++p) {
      threads.emplace_back([&, p] {
        for (int t = 0; t < kTurns; ++t) {
          CallOutcome outcome;
          outcome.run = RunState::kRan;
          outcome.added = {std::string(bytes, 'x')};
          BeginResult begun =
              table->Begin({MakeProgramKey(p), ProgramId(""), "", 1}, {},
                           clock.Now() + Seconds(5));
          auto* hold = std::get_if<TurnHold>(&begun);
          if (hold == nullptr) continue;
          if (table->Finish(std::move(*hold), outcome).ok()) ++done;
        }
      });
    }
    for (std::thread& it : threads) it.join();
  }
  const double cpu_s =
      static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
  state.counters["cpu_us_per_turn"] =
      1e6 * cpu_s / static_cast<double>(done.load());
}
BENCHMARK(TurnCpu)
    ->ArgName("turn_bytes")
    ->Arg(400)
    ->Arg(1600)
    ->Arg(6400)
    ->Arg(25600)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace knapweed
