#include <benchmark/benchmark.h>

#include <cstdint>
#include <random>
#include <vector>

#include "knapweed/policy/call_queue.h"
#include "knapweed/policy/placement.h"
#include "tests/allocation_count.h"

namespace knapweed {
namespace {

constexpr uint64_t kWorkspaces = 4400;

/// Returns `n` upstreams with random load. One in 50 has some of the prompt
/// cached.
std::vector<UpstreamView> RandomViews(size_t n) {
  std::mt19937_64 random(1);
  std::vector<UpstreamView> views(n);
  for (size_t i = 0; i < n; ++i) {
    UpstreamView& view = views[i];
    view.index = static_cast<uint32_t>(i);
    view.domain = static_cast<uint32_t>(i % 10);
    view.slots = 32;
    view.running = static_cast<uint32_t>(random() % 40);
    view.queued_prefill_tokens = random() % 50000;
    view.queued_decode_tokens = uint64_t{view.running} * 150;
    view.prefill_tokens_per_s = 10000;
    view.decode_tokens_per_s = 50;
    view.cached_tokens = i % 50 == 0 ? random() % 20000 : 0;
    view.view_age = Ms{static_cast<int64_t>(random() % 2000)};
  }
  return views;
}

/// Measures the placement of one call by the number of upstreams.
void PlaceOne(benchmark::State& state) {
  const std::vector<UpstreamView> views =
      RandomViews(static_cast<size_t>(state.range(0)));
  PlacementCall call;
  call.prompt_tokens = 20000;
  call.expected_output_tokens = 200;
  call.home = 50;
  const uint64_t before = AllocationCount();
  for (auto _ : state) {
    ++call.random;
    benchmark::DoNotOptimize(PlaceCall(call, views));
  }
  state.counters["allocations"] =
      static_cast<double>(AllocationCount() - before);
}
BENCHMARK(PlaceOne)->Arg(14)->Arg(60)->Arg(240)->Arg(730);

QueuedCall RandomCall(uint64_t ticket, std::mt19937_64& random) {
  QueuedCall call;
  call.ticket = ticket;
  call.workspace_hash = random() % kWorkspaces;
  call.program_hash = random();
  call.attained_tokens = random() % 300000;
  call.cost_tokens = 1 + random() % 4000;
  call.queued_at = Ms{static_cast<int64_t>(ticket)};
  call.deadline = Ms{static_cast<int64_t>(ticket + random() % 60000)};
  return call;
}

/// Measures one push and one pop on a queue of `n` waiting calls.
void QueueOne(benchmark::State& state) {
  const auto n = static_cast<uint64_t>(state.range(0));
  CallQueueOptions options;
  options.reserve_calls = n + 1;
  options.reserve_workspaces = kWorkspaces;
  CallQueue queue(options);
  std::mt19937_64 random(1);
  for (uint64_t i = 0; i < n; ++i) queue.Push(RandomCall(i, random));
  std::vector<QueuedCall> next;
  for (uint64_t i = 0; i < 1 << 16; ++i) {
    next.push_back(RandomCall(0, random));
  }
  uint64_t ticket = n;
  const uint64_t before = AllocationCount();
  for (auto _ : state) {
    QueuedCall& call = next[ticket % next.size()];
    call.ticket = ++ticket;
    call.queued_at = Ms{static_cast<int64_t>(ticket)};
    queue.Push(call);
    benchmark::DoNotOptimize(queue.Pop(Ms{0}));
  }
  state.counters["allocations"] =
      static_cast<double>(AllocationCount() - before);
}
BENCHMARK(QueueOne)->Arg(100)->Arg(500)->Arg(2000)->Arg(10000);

}  // namespace
}  // namespace knapweed
