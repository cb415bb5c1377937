#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "knapweed/rules/config.h"
#include "knapweed/rules/keys.h"
#include "knapweed/rules/parse_rules.h"
#include "knapweed/rules/rules_holder.h"

namespace knapweed {
namespace {

std::string WorkspaceName(int64_t n) { return "ws-" + std::to_string(n); }

std::string RulesText(int64_t workspaces) {
  std::string text =
      "route /v1/chat/completions pool=chat  # Sato: agents\n"
      "pool chat models=small,large  # Sato: engines\n"
      "budget * tokens=300000 turns=350 time=24h  # Sato: loops\n";
  for (int64_t n = 0; n < workspaces; ++n) {
    text += "workspace " + WorkspaceName(n) +
            " rate=20 burst=40 weight=1  # Sato: a tenant of the usual size\n";
  }
  return text;
}

StoredConfig MakeConfig(int64_t workspaces, int64_t keys) {
  StoredConfig config{1, 1, RulesText(workspaces), {}};
  std::vector<KeyRecord>& list = config.keys.Edit();
  list.reserve(keys);
  for (int64_t n = 0; n < keys; ++n) {
    list.push_back(MakeKey(WorkspaceId(WorkspaceName(n % workspaces))).record);
  }
  std::sort(list.begin(), list.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  return config;
}

/// Returns the allocated heap bytes, including large blocks that malloc maps
/// directly.
size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// Returns the configuration with the rate of one workspace changed.
StoredConfig ChangeOneRule(const StoredConfig& base) {
  StoredConfig changed = base;
  const size_t at =
      changed.rules_text.find("rate=20", base.rules_text.size() / 2);
  changed.rules_text.replace(at, 7, "rate=25");
  changed.rules_version = ++changed.version;
  return changed;
}

/// Measures parsing by the number of workspaces.
void ReadRules(benchmark::State& state) {
  const std::string text = RulesText(state.range(0));
  for (auto _ : state) benchmark::DoNotOptimize(ParseRules(text));
  state.counters["text_bytes"] = static_cast<double>(text.size());
}
BENCHMARK(ReadRules)->Arg(8)->Arg(550)->Arg(1100)->Arg(2200)->Arg(4400);

/// Measures the memory of a stored and compiled configuration, by the numbers
/// of workspaces and keys.
void MemoryInForce(benchmark::State& state) {
  double bytes = 0;
  for (auto _ : state) {
    const size_t before = HeapBytes();
    const StoredConfig config = MakeConfig(state.range(0), state.range(1));
    const auto rules = CompileConfig(config);
    bytes = static_cast<double>(HeapBytes() - before);
    benchmark::DoNotOptimize(rules.ok());
  }
  state.counters["bytes"] = bytes;
}
BENCHMARK(MemoryInForce)
    ->Iterations(1)
    ->Args({550, 100})
    ->Args({1100, 100})
    ->Args({2200, 100})
    ->Args({4400, 100})
    ->Args({4400, 2500})
    ->Args({4400, 5000})
    ->Args({4400, 10000})
    ->Args({4400, 20000});

/// Measures the handling of a pushed change without its publication: apply the
/// delta, compute the digest, compile.
void BenchmarkApplyDelta(benchmark::State& state, const StoredConfig& base,
                         const StoredConfig& changed) {
  const std::string delta = EncodeDelta(base, changed);
  const auto previous = CompileConfig(base);
  for (auto _ : state) {
    const auto applied = ApplyDelta(base, delta);
    benchmark::DoNotOptimize(ConfigDigest(*applied));
    benchmark::DoNotOptimize(CompileConfig(*applied, previous->get()));
  }
  state.counters["delta_bytes"] = static_cast<double>(delta.size());
}

/// Arguments: number of workspaces, number of keys.
void ApplyRulesDelta(benchmark::State& state) {
  const StoredConfig base = MakeConfig(state.range(0), state.range(1));
  BenchmarkApplyDelta(state, base, ChangeOneRule(base));
}
BENCHMARK(ApplyRulesDelta)
    ->Unit(benchmark::kMillisecond)
    ->Args({8, 40})
    ->Args({1100, 5000})
    ->Args({2200, 10000})
    ->Args({4400, 20000});

/// Argument: number of keys.
void ApplyKeyDelta(benchmark::State& state) {
  const StoredConfig base = MakeConfig(4400, state.range(0));
  StoredConfig changed = base;
  changed.version = 2;
  PutStoredKey(changed, MakeKey(WorkspaceId(WorkspaceName(1))).record);
  BenchmarkApplyDelta(state, base, changed);
}
BENCHMARK(ApplyKeyDelta)
    ->Unit(benchmark::kMillisecond)
    ->Arg(2500)
    ->Arg(5000)
    ->Arg(10000)
    ->Arg(20000);

/// Measures the lookup of an API key by the number of keys.
void LookUpKey(benchmark::State& state) {
  StoredConfig config = MakeConfig(4400, state.range(0));
  const IssuedKey key = MakeKey(WorkspaceId(WorkspaceName(7)));
  PutStoredKey(config, key.record);
  const auto rules = CompileConfig(config);
  for (auto _ : state) benchmark::DoNotOptimize(FindKey(**rules, key.text));
}
BENCHMARK(LookUpKey)->Arg(40)->Arg(2500)->Arg(5000)->Arg(10000)->Arg(20000);

/// Measures reads on several threads while another thread publishes new rules
/// 100 times per second.
class ReadUnderUpdate : public benchmark::Fixture {
 public:
  void SetUp(const benchmark::State& state) override {
    if (state.thread_index() != 0) return;
    stop_ = false;
    publisher_ = std::thread([this] { Publish(); });
  }
  void TearDown(const benchmark::State& state) override {
    if (state.thread_index() != 0) return;
    stop_ = true;
    publisher_.join();
  }

 protected:
  RulesHolder holder_;

 private:
  void Publish() {
    while (!stop_) {
      auto rules = std::make_unique<Rules>();
      rules->version = ++version_;
      holder_.Publish(std::move(rules));
      SleepFor(Ms{10});
    }
  }

  uint64_t version_ = 0;
  std::atomic<bool> stop_{false};
  std::thread publisher_;
};

BENCHMARK_DEFINE_F(ReadUnderUpdate, Guard)(benchmark::State& state) {
  for (auto _ : state) benchmark::DoNotOptimize(holder_.Read()->version);
}
BENCHMARK_REGISTER_F(ReadUnderUpdate, Guard)->ThreadRange(1, 4)->UseRealTime();

BENCHMARK_DEFINE_F(ReadUnderUpdate, Snapshot)(benchmark::State& state) {
  for (auto _ : state) benchmark::DoNotOptimize(holder_.Snapshot()->version);
}
BENCHMARK_REGISTER_F(ReadUnderUpdate, Snapshot)
    ->ThreadRange(1, 4)
    ->UseRealTime();

}  // namespace
}  // namespace knapweed
