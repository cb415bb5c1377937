#include "knapweed/journal/journal.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "knapweed/journal/log_rows.h"
#include "knapweed/membership/rows.h"
#include "standins/memory_store.h"

namespace knapweed {
namespace {

journal::RecordT RecordOf(uint64_t sequence, size_t bytes) {
  journal::RecordT record;
  record.program = "p";
  record.sequence = sequence;
  record.added = {std::string(bytes, 'x')};
  return record;
}

struct Harness {
  Harness() {
    REQUIRE(store.Table().commit({{}, {{FenceKey("a1"), "open"}}}).ok());
    JournalOptions options;
    options.incarnation = "a1";
    options.max_pending_bytes = 1 << 20;
    journal = std::make_unique<Journal>(store.Table(), store.Objects(), clock,
                                        options);
    journal->Start();
  }
  absl::Status Write(uint64_t sequence, size_t bytes) {
    const auto position = journal->Append({RecordOf(sequence, bytes)});
    if (!position.ok()) return position.status();
    return journal->Wait(*position, clock.Now() + Seconds(5));
  }

  MemoryStore store;
  Clock clock = Clock::Steady();
  std::unique_ptr<Journal> journal;
};

TEST_CASE("a log reads back batches stored in rows and in objects") {
  Harness harness;
  const std::vector<size_t> sizes = {0, 100, 300 << 10};
  for (size_t i = 0; i < sizes.size(); ++i) {
    CHECK(harness.Write(i + 1, sizes[i]).ok());
  }
  CHECK(harness.store.Objects().list("batch/")->size() == 1);
  const auto log =
      ReadLog(harness.store.Table(), harness.store.Objects(), "a1");
  REQUIRE(log.ok());
  REQUIRE(log->batches.size() == sizes.size());
  for (size_t i = 0; i < sizes.size(); ++i) {
    const auto* records = UnpackBatch(log->batches[i])->records();
    CHECK(records->Get(0)->added()->Get(0)->size() == sizes[i]);
  }
}

TEST_CASE("reading a damaged log returns DataLoss") {
  struct Row {
    std::string name;
    RowWrite write;
  };
  const std::string first = BatchKey("a1", 1);
  const std::vector<Row> rows = {
      {"a batch is missing", {first, std::nullopt}},
      {"not base64", {first, "batch ?"}},
      {"not a batch", {first, InlineRowText("abc")}},
      {"unknown kind", {first, "x"}},
      {"bad checkpoint", {CheckpointKey("a1"), "{}"}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Harness harness;
    REQUIRE(harness.Write(1, 10).ok());
    REQUIRE(harness.Write(2, 10).ok());
    REQUIRE(harness.store.Table().commit({{}, {row.write}}).ok());
    const auto log =
        ReadLog(harness.store.Table(), harness.store.Objects(), "a1");
    CHECK(absl::IsDataLoss(log.status()));
  }
}

TEST_CASE("Append fails when too much is pending and once the log is fenced") {
  Harness harness;
  harness.store.SetFaults({.outage = true});
  CHECK(harness.journal->Append({RecordOf(1, 600 << 10)}).ok());
  CHECK(absl::IsResourceExhausted(
      harness.journal->Append({RecordOf(2, 600 << 10)}).status()));
  harness.store.SetFaults({});
  CHECK(harness.Write(2, 10).ok());
  REQUIRE(harness.store.Table().commit({{}, {{FenceKey("a1"), "x"}}}).ok());
  CHECK(absl::IsFailedPrecondition(harness.Write(3, 10)));
  CHECK(harness.journal->Fenced());
  CHECK(absl::IsFailedPrecondition(harness.Write(4, 10)));
}

}  // namespace
}  // namespace knapweed
