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

/// Returns the allocated heap bytes, including large blocks that malloc maps
/// directly.
size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

std::vector<WorkspaceId> MakeWorkspaces(int64_t count) {
  std::vector<WorkspaceId> workspaces;
  workspaces.reserve(count);
  for (int64_t n = 0; n < count; ++n)
    workspaces.emplace_back("workspace-" + std::to_string(n));
  return workspaces;
}

std::unique_ptr<BucketOwner> MakeOwner() {
  return std::make_unique<BucketOwner>(BucketOwnerSources{
      [](const WorkspaceId&) { return std::optional(kLease); },
      [](const WorkspaceId&) {
        return std::optional(RateLimit{20, 40});
      }});
}

/// Measures one request at the bucket owner, cycling over all workspaces.
void OwnerTake(benchmark::State& state) {
  const std::vector<WorkspaceId> workspaces = MakeWorkspaces(state.range(0));
  const auto owner = MakeOwner();
  Ms now = Seconds(100);
  size_t n = 0;
  for (auto _ : state) {
    now += Ms{1};
    n = n + 1 == workspaces.size() ? 0 : n + 1;
    benchmark::DoNotOptimize(owner->Take({workspaces[n], 1, Seconds(2)}, now));
  }
}
BENCHMARK(OwnerTake)->Arg(8)->Arg(550)->Arg(1100)->Arg(2200)->Arg(4400);

/// Measures a call at an entry that holds no token: all of the entry's own work
/// for the request to the owner, without the network.
void AskerCall(benchmark::State& state) {
  const std::vector<WorkspaceId> workspaces = MakeWorkspaces(state.range(0));
  GrantBook book;
  const BucketResponse response{1, Ms{0}, Ms{500}, Ms{0}};
  Ms now = Seconds(100);
  size_t n = 0;
  for (auto _ : state) {
    now += Ms{1};
    n = n + 1 == workspaces.size() ? 0 : n + 1;
    if (book.UseHeldToken(workspaces[n], now)) continue;
    benchmark::DoNotOptimize(book.StartRequest(workspaces[n]));
    book.OnResponse(workspaces[n], response, now, now);
  }
}
BENCHMARK(AskerCall)->Arg(8)->Arg(550)->Arg(1100)->Arg(2200)->Arg(4400);

/// Measures the memory of the owner and of one entry by the number of
/// workspaces.
void BucketMemory(benchmark::State& state) {
  const std::vector<WorkspaceId> workspaces = MakeWorkspaces(state.range(0));
  double owner_bytes = 0;
  double client_bytes = 0;
  for (auto _ : state) {
    const size_t before = HeapBytes();
    const auto owner = MakeOwner();
    for (const WorkspaceId& it : workspaces)
      benchmark::DoNotOptimize(owner->Take({it, 1, Ms{0}}, Seconds(100)));
    const size_t with_owner = HeapBytes();
    GrantBook book;
    for (const WorkspaceId& workspace : workspaces) {
      book.UseHeldToken(workspace, Seconds(100));
      book.OnResponse(workspace, {2, Ms{0}, Ms{500}, Ms{0}}, Seconds(100),
                      Seconds(100));
    }
    owner_bytes = static_cast<double>(with_owner - before);
    client_bytes = static_cast<double>(HeapBytes() - with_owner);
  }
  state.counters["owner_bytes"] = owner_bytes;
  state.counters["asker_bytes"] = client_bytes;
}
BENCHMARK(BucketMemory)
    ->Iterations(1)
    ->Arg(550)
    ->Arg(1100)
    ->Arg(2200)
    ->Arg(4400);

/// Simulates one workspace whose calls arrive at several entries, for two
/// minutes of simulated time. Arguments: rate in calls per second, number of
/// entries, and load in percent of the rate.
void WalkFleet(benchmark::State& state) {
  FleetWalk::Plan plan;
  plan.limit = RateLimit{static_cast<double>(state.range(0)),
                         static_cast<double>(state.range(0) * 2)};
  plan.clients = static_cast<int>(state.range(1));
  plan.offered_per_s =
      plan.limit.rate_per_s * static_cast<double>(state.range(2)) / 100;
  plan.length = Seconds(120);
  FleetWalk simulation(plan, 1);
  for (auto _ : state) simulation.Run();
  const auto calls =
      static_cast<double>(simulation.admitted() + simulation.refused());
  const double bound =
      plan.limit.rate_per_s * plan.length.Seconds() + plan.limit.burst;
  state.counters["messages_per_call"] =
      static_cast<double>(simulation.messages()) / calls;
  state.counters["refused_share"] =
      static_cast<double>(simulation.refused()) / calls;
  state.counters["ideal_refused_share"] =
      static_cast<double>(simulation.ideal_refused()) / calls;
  state.counters["admitted_of_bound"] =
      static_cast<double>(simulation.admitted()) / bound;
  state.counters["worst_excess"] = simulation.WorstExcess();
}
BENCHMARK(WalkFleet)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond)
    ->ArgsProduct({{2, 20, 200}, {3, 30}, {50, 90, 500}});

}  // namespace
}  // namespace knapweed
