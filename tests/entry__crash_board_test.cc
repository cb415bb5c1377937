// Replication of crash reports between entries.
#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "knapweed/base/log.h"
#include "knapweed/entry/crash_board.h"
#include "standins/free_port.h"
#include "standins/memory_store.h"

namespace knapweed {
namespace {

constexpr uint64_t kDigest = 77;

wire::CrashReportT ReportOf(uint64_t digest) {
  wire::CrashReportT report;
  report.digest = digest;
  report.crashes = 1;
  return report;
}

TEST_CASE("a crash report is kept for each process until it confirms it") {
  struct Row {
    std::string name;
    size_t added;
    size_t confirmed;
    size_t added_later;
    std::vector<uint64_t> unconfirmed;
  };
  const std::vector<Row> rows = {
      {"no reports", 0, 0, 0, {}},
      {"none confirmed", 2, 0, 0, {0, 1}},
      {"some confirmed", 3, 1, 0, {1, 2}},
      {"all confirmed", 2, 2, 0, {}},
      {"all confirmed, then a new one", 2, 2, 1, {2}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CrashReportLog log;
    uint64_t digest = 0;
    for (size_t i = 0; i < row.added; ++i) log.Add(ReportOf(digest++));
    log.Confirm("one", row.confirmed);
    for (size_t i = 0; i < row.added_later; ++i) log.Add(ReportOf(digest++));
    std::vector<uint64_t> pending;
    for (const auto& it : log.UnconfirmedBy("one"))
      pending.push_back(it.digest);
    CHECK(pending == row.unconfirmed);
    CHECK(log.UnconfirmedBy("just started").size() == digest);
    log.KeepOnly({"another"});
    CHECK(log.UnconfirmedBy("one").size() == digest);
  }
}

std::unique_ptr<Membership> Join(MemoryStore& store, const Clock& clock,
                                 const std::string& id, const Address& rpc) {
  MembershipOptions options;
  options.self.id = MemberId(id);
  options.self.incarnation = id + "-1";
  options.self.rpc = rpc;
  options.self.domain = FailureDomain("d1");
  options.partition_count = 1;
  options.busy = [](PartitionId) { return false; };
  auto member = std::make_unique<Membership>(
      store.Table(), clock, options,
      [](PartitionId, Epoch, const std::string&) { return absl::OkStatus(); },
      [](PartitionId) { return absl::OkStatus(); });
  REQUIRE(member->Join().ok());
  return member;
}

TEST_CASE("a crash report reaches a peer that was unreachable at first") {
  StartLog(LogLevel::kError);
  MemoryStore store;
  const Clock clock = Clock::Steady();
  const Address peer_address = FreeLoopbackAddress();
  const auto self =
      Join(store, clock, "self", Address{"127.0.0.1", peer_address.port});
  const auto peer = Join(store, clock, "peer", peer_address);
  REQUIRE(self->Watch().ok());
  RpcPool rpc;
  CrashBoard board(*self, rpc, MemberId("self"));
  board.OnCrash(kDigest, "engine-1");
  board.Step();

  std::atomic<uint64_t> received_digest{0};
  auto server = RpcServer::Start(
      peer_address, [&](wire::BodyUnion request, const ReplyHandle& reply) {
        const wire::CrashReportT* report = request.AsCrashReport();
        REQUIRE(report != nullptr);
        CHECK(report->at_ms > 0);
        received_digest.store(report->digest);
        reply.Send(Wrap(wire::AckT{}));
      });
  REQUIRE(server.ok());
  const Ms give_up = clock.Now() + Seconds(10);
  while (received_digest.load() == 0 && clock.Now() < give_up) {
    board.Step();
    SleepFor(Ms{20});
  }
  CHECK(received_digest.load() == kDigest);
}

}  // namespace
}  // namespace knapweed
