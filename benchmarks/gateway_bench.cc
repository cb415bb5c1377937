#include <benchmark/benchmark.h>

#include <memory>
#include <string>
#include <vector>

#include "knapweed/base/resource_use.h"
#include "tests/platform/world.h"

namespace knapweed::testing {
namespace {

/// Returns `depth`, after as many nested coroutine frames.
gateway::Task<int> Nest(int depth) {
  if (depth == 0) co_return 0;
  const int inner = co_await Nest(depth - 1);
  co_return inner + 1;
}

gateway::Task<void> StoreNested(int depth, int& result) {
  result = co_await Nest(depth);
}

/// Measures the coroutine frames of a task that awaits others, from its start
/// to its end; the argument is how deep they nest.
void NestedTasks(benchmark::State& state) {
  gateway::asio::io_context loop;
  const auto depth = static_cast<int>(state.range(0));
  for (auto _ : state) {
    int result = 0;
    gateway::Spawn(loop, StoreNested(depth, result));
    loop.run();
    loop.restart();
    if (result != depth) state.SkipWithError("The task did not end.");
  }
  state.SetItemsProcessed(state.iterations() * depth);
}
BENCHMARK(NestedTasks)->Arg(1)->Arg(8)->Arg(64);

/// Measures calls of a plain service through one gateway, as many at a time as
/// the argument says. Callers, store and upstreams share its thread.
void Calls(benchmark::State& state) {
  TestCluster cluster(1, 2);
  CallerRequest call = PlainCall("/safe/x", "");
  // A workspace without a rate.
  call.headers["Key"] = "key2";
  const auto count = static_cast<size_t>(state.range(0));
  uint64_t number = 0;
  for (auto _ : state) {
    std::vector<std::shared_ptr<CallerResponse>> responses;
    responses.reserve(count);
    for (size_t i = 0; i < count; ++i) {
      call.headers["Request-Id"] = "b" + std::to_string(++number);
      responses.push_back(cluster.StartCall(call));
    }
    for (const auto& response : responses) {
      cluster.RunUntil([&] { return response->done; });
      if (response->status != 200) state.SkipWithError("A call failed.");
    }
  }
  state.SetItemsProcessed(state.iterations() * state.range(0));
  state.counters["peak_resident_kb"] =
      static_cast<double>(ReadResourceUse().peak_resident_kb);
}
BENCHMARK(Calls)->Arg(1)->Arg(50);

}  // namespace
}  // namespace knapweed::testing
