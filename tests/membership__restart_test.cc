#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "knapweed/membership/rows.h"
#include "standins/memory_store.h"

namespace knapweed {
namespace {

struct Harness {
  std::unique_ptr<Membership> Make(const std::string& incarnation) {
    MembershipOptions options;
    options.self.id = MemberId("a");
    options.self.incarnation = incarnation;
    options.self.rpc = Address{"127.0.0.1", 7000};
    options.partition_count = 4;
    return std::make_unique<Membership>(
        store.Table(), clock, options,
        [](PartitionId, Epoch, const std::string&) { return absl::OkStatus(); },
        [](PartitionId) { return absl::OkStatus(); });
  }

  Clock clock = Clock::Manual(Seconds(1));
  MemoryStore store;
};

TEST_CASE("a restarted process joins once its earlier lease has expired") {
  struct Row {
    std::string name;
    bool renewed;
    Ms wait;
    bool can_join;
  };
  const std::vector<Row> rows = {
      {"immediately", false, Ms{0}, false},
      {"within the lease", false, Ms{5000}, false},
      {"after lease and clock drift", false, Ms{5100}, true},
      {"the earlier process renewed", true, Ms{5100}, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Harness harness;
    const auto first = harness.Make("a1");
    REQUIRE(first->Join().ok());
    const auto second = harness.Make("a2");
    CHECK(absl::IsAlreadyExists(second->Join()));
    harness.clock.Advance(row.wait);
    if (row.renewed) CHECK(first->Renew().ok());
    CHECK(second->Join().ok() == row.can_join);
    CHECK(!(first->LeaseHolds() && second->LeaseHolds()));
  }
}

TEST_CASE("joining and renewing succeed after a lost or failed commit") {
  struct Row {
    std::string name;
    StoreFaults faults;
    bool succeeds_at_first;
  };
  const std::vector<Row> rows = {
      {"response lost", {.lose_commit_answers = 1}, true},
      {"request lost", {.lose_commits = 1}, false},
      {"refused", {.fail_commits = 1}, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Harness harness;
    const auto member = harness.Make("a1");
    harness.store.SetFaults(row.faults);
    CHECK(member->Join().ok() == row.succeeds_at_first);
    CHECK(member->Join().ok());
    harness.store.SetFaults(row.faults);
    CHECK(member->Renew().ok() == row.succeeds_at_first);
    CHECK(member->Renew().ok());
    CHECK(member->LeaseHolds());
    CHECK(!member->Fenced());
  }
}

}  // namespace
}  // namespace knapweed
