#ifndef KNAPWEED_TESTS_MEMBER_CLUSTER_H_
#define KNAPWEED_TESTS_MEMBER_CLUSTER_H_

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "knapweed/base/log.h"
#include "knapweed/membership/membership.h"
#include "knapweed/program/program_table.h"
#include "standins/memory_store.h"

namespace knapweed {

/// A manual clock that also advances with real time, so that timeouts expire on
/// their own and a test can still skip a lease.
class RunningClock {
 public:
  RunningClock() : thread_([this] { Run(); }) {}
  ~RunningClock() {
    stop_.store(true);
    thread_.join();
  }
  RunningClock(const RunningClock&) = delete;
  RunningClock& operator=(const RunningClock&) = delete;

  Clock clock = Clock::Manual(Seconds(1000));

 private:
  void Run() {
    while (!stop_.load()) {
      SleepFor(Ms{1});
      clock.Advance(Ms{1});
    }
  }

  std::atomic<bool> stop_{false};
  std::thread thread_;
};

/// Cuts one member off from a store that the other members still reach.
struct StoreGate {
  std::atomic<bool> closed{false};
  /// Number of commits to let through before the gate closes by itself; no
  /// limit when negative.
  std::atomic<int> commits_left{-1};

  bool AllowCommit() {
    if (closed.load()) return false;
    if (commits_left.load() < 0) return true;
    if (commits_left.fetch_sub(1) > 0) return true;
    closed.store(true);
    return false;
  }
};

inline TableService WithGate(const TableService& table,
                             const std::shared_ptr<StoreGate>& gate) {
  const absl::Status down = absl::UnavailableError("cut off");
  TableService gated;
  gated.get = [=](std::string_view key) -> absl::StatusOr<Row> {
    if (gate->closed.load()) return down;
    return table.get(key);
  };
  gated.scan =
      [=](std::string_view prefix) -> absl::StatusOr<std::vector<Row>> {
    if (gate->closed.load()) return down;
    return table.scan(prefix);
  };
  gated.commit = [=](const Transaction& transaction) {
    return gate->AllowCommit() ? table.commit(transaction) : down;
  };
  return gated;
}

/// One entry's membership and program table on the given stores. Their
/// background loops do not run; the test calls `Step` instead. Destruction
/// without `Leave` simulates a crash.
class TestMember {
 public:
  static constexpr uint32_t kPartitions = 8;

  TestMember(const std::string& id, const std::string& incarnation,
             const Clock& clock, const TableService& store_table,
             const ObjectStore& objects) {
    const TableService table = WithGate(store_table, gate);
    static const bool kQuiet = (StartLog(LogLevel::kError), true);
    (void)kQuiet;
    ProgramTableOptions program_options;
    program_options.partition_count = kPartitions;
    program_options.record_timeout = Ms{60};
    program_options.drain_timeout = Ms{60};
    program_options.move_after_batches = 8;
    program_options.maintenance_interval = Ms{0};
    program_options.log_deletion_interval = Ms{0};
    programs = std::make_unique<ProgramTable>(table, objects, clock,
                                              incarnation, program_options);
    MembershipOptions options;
    options.self.id = MemberId(id);
    options.self.incarnation = incarnation;
    options.self.rpc = Address{"127.0.0.1", 7000};
    options.self.domain = FailureDomain("d1");
    options.partition_count = kPartitions;
    options.on_rejoin = [this](const std::string& name) {
      return programs->Restart(name);
    };
    options.busy = [this](PartitionId id) { return programs->Busy(id); };
    membership = std::make_unique<Membership>(
        table, clock, options,
        [this](PartitionId partition, Epoch epoch, const std::string& old) {
          return programs->AcquirePartition(partition, epoch, old);
        },
        [this](PartitionId partition) {
          return programs->ReleasePartition(partition);
        });
  }

  absl::Status Start() {
    const absl::Status status = programs->Start();
    return status.ok() ? membership->Join() : status;
  }
  /// Runs one round of the membership's background work.
  void Step() {
    membership->Renew().IgnoreError();
    membership->Watch().IgnoreError();
    membership->GainPending();
    membership->Rebalance();
  }
  uint32_t OwnedPartitions() const {
    uint32_t n = 0;
    for (uint32_t p = 0; p < kPartitions; ++p) {
      const auto owner = membership->OwnerOf(PartitionId{p});
      if (owner && owner->self) ++n;
    }
    return n;
  }

  bool Serves(PartitionId partition) const {
    const auto owner = membership->OwnerOf(partition);
    return owner && owner->self;
  }

  std::shared_ptr<StoreGate> gate = std::make_shared<StoreGate>();
  std::unique_ptr<ProgramTable> programs;
  std::unique_ptr<Membership> membership;
};

/// Several members on one store, driven by the test's thread.
class TestCluster {
 public:
  TestMember& Add(const std::string& id) {
    const std::string incarnation = id + std::to_string(++started_);
    members.push_back(std::make_unique<TestMember>(
        id, incarnation, time.clock, store.Table(), store.Objects()));
    return *members.back();
  }
  /// Simulates a crash of the member with this index.
  void Kill(size_t n) {
    members.erase(members.begin() + static_cast<ptrdiff_t>(n));
  }
  void Step() {
    for (auto& it : members) it->Step();
  }
  /// Advances the clock by `span`, with one round of all members every 500 ms.
  void AdvanceTime(Ms span) {
    constexpr Ms kRound{500};
    for (Ms passed; passed < span; passed += kRound) {
      time.clock.Advance(kRound);
      Step();
    }
  }
  /// Advances the clock by more than a lease, its safety margin and the
  /// takeover delay of every rank.
  void AdvancePastLease() { AdvanceTime(Seconds(8)); }
  /// The member that serves a program; null when none does.
  TestMember* OwnerOf(const ProgramKey& key) {
    const PartitionId id = PartitionOf(key, TestMember::kPartitions);
    for (auto& it : members) {
      if (it->Serves(id)) return it.get();
    }
    return nullptr;
  }

  RunningClock time;
  MemoryStore store;
  std::vector<std::unique_ptr<TestMember>> members;

 private:
  int started_ = 0;
};

}  // namespace knapweed

#endif  // KNAPWEED_TESTS_MEMBER_CLUSTER_H_
