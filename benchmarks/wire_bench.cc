#include <benchmark/benchmark.h>

#include <memory>
#include <string>
#include <vector>

#include "knapweed/base/resource_use.h"
#include "knapweed/wire/rpc.h"
#include "standins/free_port.h"
#include "tests/allocation_count.h"

namespace knapweed {
namespace {

constexpr Ms kTimeout = Seconds(10);

wire::BodyUnion MakeDispatch(int64_t body_bytes) {
  wire::DispatchT dispatch;
  dispatch.attempt = "0123456789abcdef0123456789abcdef";
  dispatch.workspace = "workspace";
  dispatch.program = "program";
  dispatch.path = "/v1/chat/completions";
  dispatch.model = "model";
  dispatch.body = std::string(static_cast<size_t>(body_bytes), 'x');
  return Wrap(std::move(dispatch));
}

/// Measures one frame by the size of its body in bytes.
void EncodeAndDecode(benchmark::State& state) {
  const wire::BodyUnion body = MakeDispatch(state.range(0));
  const uint64_t before = AllocationCount();
  for (auto _ : state) {
    const auto frame = EncodeFrame(7, body);
    benchmark::DoNotOptimize(DecodeFrame({frame.data(), frame.size()}));
  }
  state.counters["allocations"] =
      static_cast<double>(AllocationCount() - before) /
      static_cast<double>(state.iterations());
}
BENCHMARK(EncodeAndDecode)->Arg(100)->Arg(1000)->Arg(10000)->Arg(100000);

/// Measures round trips of one client shared by all threads.
void RoundTrips(benchmark::State& state) {
  static const Address kListen = FreeLoopbackAddress();
  static const auto kServer = RpcServer::Start(
      kListen, [](const wire::BodyUnion&, const ReplyHandle& reply) {
        reply.Send(Wrap(wire::AckT{}));
      });
  static RpcClient client(kListen);
  const wire::BodyUnion body = MakeDispatch(state.range(0));
  for (auto _ : state) {
    if (!client.Call(body, kTimeout).ok()) state.SkipWithError("no response");
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(RoundTrips)->Arg(1000)->ThreadRange(1, 16)->UseRealTime();

/// Measures resident memory by the number of connections; its slope is the
/// memory of one idle connection.
void MemoryPerConnection(benchmark::State& state) {
  const Address listen = FreeLoopbackAddress();
  const auto server = RpcServer::Start(
      listen, [](const wire::BodyUnion&, const ReplyHandle& reply) {
        reply.Send(Wrap(wire::AckT{}));
      });
  const wire::BodyUnion body = MakeDispatch(1000);
  for (auto _ : state) {
    const int64_t before_kb = ReadResourceUse().resident_kb;
    std::vector<std::unique_ptr<RpcClient>> clients;
    for (int64_t i = 0; i < state.range(0); ++i) {
      clients.push_back(std::make_unique<RpcClient>(listen));
      if (!clients.back()->Call(body, kTimeout).ok()) {
        state.SkipWithError("no response");
      }
    }
    state.counters["resident_kib"] =
        static_cast<double>(ReadResourceUse().resident_kb - before_kb);
  }
}
BENCHMARK(MemoryPerConnection)
    ->Arg(100)
    ->Arg(200)
    ->Arg(400)
    ->Arg(800)
    ->Iterations(1);

}  // namespace
}  // namespace knapweed
