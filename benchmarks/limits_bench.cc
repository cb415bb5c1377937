#include <benchmark/benchmark.h>
#include <malloc.h>

#include <memory>
#include <string>
#include <vector>

#include "knapweed/limits/bucket_owner.h"
#include "knapweed/limits/grant_book.h"
#include "tests/fleet_walk.h"

namespace knapweed {
namespace {

constexpr BucketLease kLease{Ms{0}, Seconds(1'000'000), 1};

/// Small blocks and large ones, which come from the system directly.
size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

std::vector<WorkspaceId> MakeWorkspaces(int64_t count) {
  std::vector<WorkspaceId> names;
  names.reserve(count);
  for (int64_t n = 0; n < count; ++n)
    names.emplace_back("workspace-" + std::to_string(n));
  return names;
}

std::unique_ptr<BucketOwner> MakeOwner() {
  return std::make_unique<BucketOwner>(BucketOwnerSources{
      [](const WorkspaceId&) { return std::optional(kLease); },
      [](const WorkspaceId&) {
        return std::optional(RateLimit{20, 40});
      }});
}

/// One question at the owner, over so many workspaces in turn.
void OwnerTake(benchmark::State& state) {
  const std::vector<WorkspaceId> names = MakeWorkspaces(state.range(0));
  const auto owner = MakeOwner();
  Ms now = Seconds(100);
  size_t n = 0;
  for (auto _ : state) {
    now += Ms{1};
    n = n + 1 == names.size() ? 0 : n + 1;
    benchmark::DoNotOptimize(owner->Take({names[n], 1, Seconds(2)}, now));
  }
}
BENCHMARK(OwnerTake)->Arg(8)->Arg(550)->Arg(1100)->Arg(2200)->Arg(4400);

/// One call at an asker that has to ask: all of its own work.
void AskerCall(benchmark::State& state) {
  const std::vector<WorkspaceId> names = MakeWorkspaces(state.range(0));
  GrantBook book;
  const BucketResponse answer{1, Ms{0}, Ms{500}, Ms{0}};
  Ms now = Seconds(100);
  size_t n = 0;
  for (auto _ : state) {
    now += Ms{1};
    n = n + 1 == names.size() ? 0 : n + 1;
    if (book.UseHeldToken(names[n], now)) continue;
    benchmark::DoNotOptimize(book.StartRequest(names[n]));
    book.OnResponse(names[n], answer, now, now);
  }
}
BENCHMARK(AskerCall)->Arg(8)->Arg(550)->Arg(1100)->Arg(2200)->Arg(4400);

void BucketMemory(benchmark::State& state) {
  const std::vector<WorkspaceId> names = MakeWorkspaces(state.range(0));
  double owner_bytes = 0;
  double asker_bytes = 0;
  for (auto _ : state) {
    const size_t before = HeapBytes();
    const auto owner = MakeOwner();
    for (const WorkspaceId& name : names)
      benchmark::DoNotOptimize(owner->Take({name, 1, Ms{0}}, Seconds(100)));
    const size_t between = HeapBytes();
    GrantBook book;
    for (const WorkspaceId& name : names) {
      book.UseHeldToken(name, Seconds(100));
      book.OnResponse(name, {2, Ms{0}, Ms{500}, Ms{0}}, Seconds(100),
                      Seconds(100));
    }
    owner_bytes = static_cast<double>(between - before);
    asker_bytes = static_cast<double>(HeapBytes() - between);
  }
  state.counters["owner_bytes"] = owner_bytes;
  state.counters["asker_bytes"] = asker_bytes;
}
BENCHMARK(BucketMemory)
    ->Iterations(1)
    ->Arg(550)
    ->Arg(1100)
    ->Arg(2200)
    ->Arg(4400);

/// One workspace over several askers for two minutes of the walk's own time:
/// rate, askers, and the load in percent of the rate.
void WalkFleet(benchmark::State& state) {
  FleetWalk::Plan plan;
  plan.limit = RateLimit{static_cast<double>(state.range(0)),
                         static_cast<double>(state.range(0) * 2)};
  plan.clients = static_cast<int>(state.range(1));
  plan.offered_per_s =
      plan.limit.rate_per_s * static_cast<double>(state.range(2)) / 100;
  plan.length = Seconds(120);
  FleetWalk walk(plan, 1);
  for (auto _ : state) walk.Run();
  const auto calls = static_cast<double>(walk.admitted() + walk.refused());
  const double bound =
      plan.limit.rate_per_s * plan.length.Seconds() + plan.limit.burst;
  state.counters["messages_per_call"] =
      static_cast<double>(walk.messages()) / calls;
  state.counters["refused_share"] = static_cast<double>(walk.refused()) / calls;
  state.counters["ideal_refused_share"] =
      static_cast<double>(walk.ideal_refused()) / calls;
  state.counters["admitted_of_bound"] =
      static_cast<double>(walk.admitted()) / bound;
  state.counters["worst_excess"] = walk.WorstExcess();
}
BENCHMARK(WalkFleet)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond)
    ->ArgsProduct({{2, 20, 200}, {3, 30}, {50, 90, 500}});

}  // namespace
}  // namespace knapweed

BENCHMARK_MAIN();
