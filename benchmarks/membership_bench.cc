#include <benchmark/benchmark.h>

#include <string>

#include "knapweed/membership/rows.h"
#include "standins/memory_store.h"

namespace knapweed {
namespace {

Member MakeMember(int64_t n) {
  Member member;
  member.id = MemberId("entry-" + std::to_string(n));
  member.incarnation = Sha256Hex(member.id.value).substr(0, 32);
  member.rpc = Address{"127.0.0.1", 7000};
  member.domain = FailureDomain("region-1-domain-1");
  return member;
}

/// Measures one Watch of the membership rows, with and without a change since
/// the last one.
void Watch(benchmark::State& state) {
  const int64_t members = state.range(0);
  const auto partitions = static_cast<uint32_t>(state.range(1));
  const bool changed = state.range(2) != 0;
  MemoryStore store;
  const TableService table = store.Table();
  uint64_t member_bytes = 0;
  for (int64_t n = 1; n < members; ++n) {
    const std::string row = EncodeMember({MakeMember(n), Seconds(5), 1000});
    const std::string key = MemberKey(MakeMember(n).id);
    member_bytes += key.size() + row.size();
    table.commit({{}, {{key, row}}}).IgnoreError();
  }
  for (uint32_t n = 0; n < partitions; ++n) {
    const Member owner = MakeMember(1 + n % std::max<int64_t>(members - 1, 1));
    const PartitionRow row{
        owner.id, owner.incarnation, Epoch{9}, {{owner.incarnation, Epoch{9}}}};
    table.commit({{}, {{PartitionKey(PartitionId{n}), EncodePartition(row)}}})
        .IgnoreError();
  }
  Clock clock = Clock::Manual(Seconds(1));
  MembershipOptions options;
  options.self = MakeMember(0);
  options.partition_count = partitions;
  Membership membership(
      table, clock, options,
      [](PartitionId, Epoch, const std::string&) { return absl::OkStatus(); },
      [](PartitionId) { return absl::OkStatus(); });
  membership.Join().IgnoreError();
  membership.Watch().IgnoreError();
  const StoreCounts before = store.Counts();
  for (auto unused : state) {
    if (changed) {
      state.PauseTiming();
      table.commit({{}, {{std::string(kPartitionChangeKey), "x"}}})
          .IgnoreError();
      state.ResumeTiming();
    }
    benchmark::DoNotOptimize(membership.Watch());
  }
  const double watches = static_cast<double>(state.iterations());
  state.counters["scans"] =
      static_cast<double>(store.Counts().scans - before.scans) / watches;
  state.counters["member_bytes"] = static_cast<double>(member_bytes);
}
BENCHMARK(Watch)
    ->ArgNames({"members", "partitions", "changed"})
    ->ArgsProduct({{4, 40, 120, 380}, {1024}, {0}})
    ->ArgsProduct({{40}, {64, 256, 1024, 4096}, {1}})
    ->Iterations(100)
    ->Unit(benchmark::kMicrosecond);

/// Measures the lookup of a partition's owner, which every request performs.
void OwnerOf(benchmark::State& state) {
  MemoryStore store;
  Clock clock = Clock::Manual(Seconds(1));
  MembershipOptions options;
  options.self = MakeMember(0);
  Membership membership(
      store.Table(), clock, options,
      [](PartitionId, Epoch, const std::string&) { return absl::OkStatus(); },
      [](PartitionId) { return absl::OkStatus(); });
  membership.Join().IgnoreError();
  membership.Watch().IgnoreError();
  membership.GainPending();
  for (auto unused : state) {
    benchmark::DoNotOptimize(membership.OwnerOf(PartitionId{7}));
  }
}
BENCHMARK(OwnerOf)->Unit(benchmark::kNanosecond);

}  // namespace
}  // namespace knapweed
