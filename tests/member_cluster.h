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

/// A manual clock that also runs at the pace of real time, so that bounded
/// waits end and a test can still jump over a lease.
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

/// One entry's membership and programs over the stores it is given; each step
/// is made by hand.
class TestMember {
 public:
  static constexpr uint32_t kPartitions = 8;

  TestMember(const std::string& id, const std::string& incarnation,
             const Clock& clock, const TableService& table,
             const ObjectStore& objects) {
    static const bool kQuiet = (StartLog(LogLevel::kError), true);
    (void)kQuiet;
    ProgramTableOptions program_options;
    program_options.partition_count = kPartitions;
    program_options.record_timeout = Ms{100};
    program_options.drain_timeout = Ms{100};
    program_options.move_after_batches = 8;
    program_options.maintain_every = Ms{0};
    program_options.clean_every = Ms{0};
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
    membership = std::make_unique<Membership>(
        table, clock, options,
        [this](PartitionId partition, Epoch epoch, const std::string& old) {
          return programs->Gain(partition, epoch, old);
        },
        [this](PartitionId partition) { return programs->Lose(partition); });
  }

  absl::Status Start() {
    const absl::Status status = programs->Start();
    return status.ok() ? membership->Join() : status;
  }
  /// One round of everything that runs in the background.
  void Step() {
    membership->Renew().IgnoreError();
    membership->Watch().IgnoreError();
    membership->GainPending();
  }
  uint32_t Owned() const {
    uint32_t n = 0;
    for (uint32_t p = 0; p < kPartitions; ++p) {
      const auto owner = membership->OwnerOf(PartitionId{p});
      if (owner && owner->self) ++n;
    }
    return n;
  }

  std::unique_ptr<ProgramTable> programs;
  std::unique_ptr<Membership> membership;
};

}  // namespace knapweed

#endif  // KNAPWEED_TESTS_MEMBER_CLUSTER_H_
