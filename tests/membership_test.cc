#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

#include "knapweed/membership/assignment.h"
#include "knapweed/membership/failure_detector.h"
#include "knapweed/membership/rows.h"
#include "standins/memory_store.h"

namespace knapweed {
namespace {

SidecarRecord SidecarOf(const std::string& name,
                        const std::string& incarnation) {
  SidecarRecord record;
  record.upstream = UpstreamId(name);
  record.incarnation = incarnation;
  record.rpc = Address{"127.0.0.1", 7100};
  record.domain = FailureDomain("d1");
  record.pool = "chat";
  record.models = {"m1", "m2"};
  return record;
}

TEST_CASE("rows decode to what was encoded, malformed rows are rejected") {
  MemberRow member;
  member.member.id = MemberId("a");
  member.member.incarnation = "a1";
  member.member.rpc = Address{"127.0.0.1", 7000};
  member.lease = Seconds(5);
  member.renewal_count = 9;
  const auto read = DecodeMember(EncodeMember(member));
  REQUIRE(read);
  CHECK(read->member.rpc == member.member.rpc);
  CHECK(read->lease == Seconds(5));
  PartitionRow partition{MemberId("a"), "a1", Epoch{7}, {{"b1", Epoch{3}}}};
  CHECK(DecodePartition(EncodePartition(partition)) == partition);
  const SidecarRecord sidecar = SidecarOf("u", "u1");
  CHECK(DecodeSidecar(EncodeSidecar(sidecar))->models == sidecar.models);
  for (const std::string text : {"", "{", "[]", "{\"owner\":1}"}) {
    CAPTURE(text);
    CHECK(!DecodeMember(text));
    CHECK(!DecodePartition(text));
    CHECK(!DecodeSidecar(text));
  }
}

TEST_CASE("a lease expires only after observation without a gap") {
  struct Scan {
    Ms at;
    uint64_t version;
  };
  struct Row {
    std::string name;
    std::vector<Scan> scans;
    bool expired;
  };
  const std::vector<Row> rows = {
      {"observed once", {{Ms{0}, 1}}, false},
      {"renewed",
       {{Ms{0}, 1}, {Ms{400}, 2}, {Ms{800}, 3}, {Ms{1200}, 4}},
       false},
      {"unchanged for lease and drift",
       {{Ms{0}, 1}, {Ms{400}, 1}, {Ms{800}, 1}, {Ms{1100}, 1}},
       true},
      {"1 ms less than lease and drift",
       {{Ms{0}, 1}, {Ms{400}, 1}, {Ms{800}, 1}, {Ms{1099}, 1}},
       false},
      {"unchanged, but a gap between scans",
       {{Ms{0}, 1}, {Ms{400}, 1}, {Ms{9000}, 1}, {Ms{9400}, 1}},
       false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    FailureDetector detector(Ms{100}, Ms{500});
    for (const Scan& it : row.scans) {
      detector.Observe({{"a1", it.version, Seconds(1)}}, it.at);
    }
    CHECK(detector.ExpiredFor("a1", row.scans.back().at).has_value() ==
          row.expired);
    CHECK(!detector.ExpiredFor("b1", row.scans.back().at));
  }
}

TEST_CASE("a leaving member moves only its own partitions") {
  constexpr uint32_t kPartitions = 1000;
  std::vector<Member> members(4);
  for (size_t i = 0; i < members.size(); ++i) {
    members[i].id = MemberId("m" + std::to_string(i));
  }
  std::vector<Member> after_leave = members;
  after_leave[2].leaving = true;
  uint32_t moved = 0;
  for (uint32_t n = 0; n < kPartitions; ++n) {
    const MemberId before = PreferredOwner(PartitionId{n}, members)->id;
    const MemberId after = PreferredOwner(PartitionId{n}, after_leave)->id;
    if (before == after) continue;
    ++moved;
    CHECK(before == members[2].id);
  }
  CHECK(moved > kPartitions / 8);
  CHECK(moved < kPartitions / 2);
  CHECK(PreferredOwner(PartitionId{0}, {}) == nullptr);
}

TEST_CASE("an uncertain commit is resolved by reading the row back") {
  struct Row {
    std::string name;
    StoreFaults faults;
    absl::StatusCode code;
  };
  const std::vector<Row> rows = {
      {"no fault", {}, absl::StatusCode::kOk},
      {"response lost", {.lose_commit_answers = 1}, absl::StatusCode::kOk},
      {"request lost", {.lose_commits = 1}, absl::StatusCode::kUnknown},
      {"refused", {.fail_commits = 1}, absl::StatusCode::kUnavailable},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    MemoryStore store;
    store.SetFaults(row.faults);
    const Transaction transaction{{{"k", 0}}, {{"k", "v"}}};
    CHECK(CommitAndConfirm(store.Table(), transaction, "k").code() == row.code);
  }
}

TEST_CASE("a sidecar row is removed only by the incarnation that wrote it") {
  MemoryStore store;
  const TableService table = store.Table();
  REQUIRE(RegisterSidecar(table, SidecarOf("u", "u1")).ok());
  REQUIRE(RegisterSidecar(table, SidecarOf("u", "u2")).ok());
  CHECK(RemoveSidecar(table, SidecarOf("u", "u1")).ok());
  CHECK(table.get("sidecar/u").ok());
  CHECK(RemoveSidecar(table, SidecarOf("u", "u2")).ok());
  CHECK(absl::IsNotFound(table.get("sidecar/u").status()));
}

TEST_CASE("the epoch floor has the epoch of every partition") {
  MemoryStore store;
  const PartitionRow row{MemberId("a"), "a1", Epoch{7}, {{"a1", Epoch{7}}}};
  REQUIRE(
      store.Table()
          .commit({{}, {{PartitionKey(PartitionId{2}), EncodePartition(row)}}})
          .ok());
  const auto floor = ReadEpochFloor(store.Table(), 4);
  REQUIRE(floor.ok());
  CHECK(*floor == std::vector<Epoch>{{0}, {0}, {7}, {0}});
}

}  // namespace
}  // namespace knapweed
