#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "knapweed/base/log.h"
#include "knapweed/membership/membership.h"
#include "standins/memory_store.h"

namespace knapweed {
namespace {

constexpr uint32_t kPartitions = 16;
constexpr Ms kTimeout = Seconds(20);

std::unique_ptr<Membership> MakeMember(const MemoryStore& store,
                                       const Clock& clock,
                                       const std::string& id) {
  MembershipOptions options;
  options.self.id = MemberId(id);
  options.self.incarnation = id + "1";
  options.self.rpc = Address{"127.0.0.1", 7000};
  options.lease = Ms{500};
  options.renew_every = Ms{100};
  options.scan_every = Ms{50};
  options.partition_count = kPartitions;
  return std::make_unique<Membership>(
      store.Table(), clock, options,
      [](PartitionId, Epoch, const std::string&) { return absl::OkStatus(); },
      [](PartitionId) { return absl::OkStatus(); });
}

uint32_t OwnedCount(const Membership& member) {
  uint32_t n = 0;
  for (uint32_t p = 0; p < kPartitions; ++p) {
    const auto owner = member.OwnerOf(PartitionId{p});
    if (owner && owner->self) ++n;
  }
  return n;
}

/// Waits until the two members own all partitions and each owns at least one;
/// returns false after `kTimeout`.
bool WaitUntilShared(const Membership& a, const Membership& b,
                     const Clock& clock) {
  const Ms deadline = clock.Now() + kTimeout;
  while (clock.Now() < deadline) {
    const uint32_t first = OwnedCount(a);
    const uint32_t second = OwnedCount(b);
    if (first > 0 && second > 0 && first + second == kPartitions) return true;
    SleepFor(Ms{10});
  }
  return false;
}

TEST_CASE("background threads divide, hand over and take over partitions") {
  StartLog(LogLevel::kError);
  for (const bool graceful : {false, true}) {
    CAPTURE(graceful);
    const Clock clock = Clock::Steady();
    MemoryStore store;
    auto a = MakeMember(store, clock, "a");
    auto b = MakeMember(store, clock, "b");
    REQUIRE(a->Start().ok());
    REQUIRE(b->Start().ok());
    REQUIRE(WaitUntilShared(*a, *b, clock));
    const Ms stopped_at = clock.Now();
    if (graceful) CHECK(a->Leave(kTimeout).ok());
    a.reset();
    while (OwnedCount(*b) < kPartitions &&
           clock.Now() < stopped_at + kTimeout) {
      SleepFor(Ms{5});
    }
    CHECK(OwnedCount(*b) == kPartitions);
    MESSAGE("taken over after " << (clock.Now() - stopped_at).count << " ms");
  }
}

}  // namespace
}  // namespace knapweed
