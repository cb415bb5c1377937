#include <algorithm>

#include "knapweed/journal/log_rows.h"
#include "knapweed/membership/rows.h"

namespace knapweed {
namespace {

/// A live owner may compact its log while it is being read; the read is then
/// repeated, at most this many times.
constexpr int kReadAttempts = 8;
/// Rows deleted by one call of `RemoveLog`.
constexpr size_t kRowsPerDelete = 64;

struct CheckpointRow {
  Checkpoint checkpoint;
  uint64_t version = 0;
};

absl::StatusOr<CheckpointRow> ReadCheckpoint(const TableService& table,
                                             std::string_view incarnation) {
  const absl::StatusOr<Row> row = table.get(CheckpointKey(incarnation));
  if (absl::IsNotFound(row.status())) return CheckpointRow{};
  if (!row.ok()) return row.status();
  auto checkpoint = DecodeCheckpoint(row->value);
  if (!checkpoint) return absl::DataLossError("a checkpoint row is damaged");
  return CheckpointRow{std::move(*checkpoint), row->version};
}

absl::Status ReadSegments(const ObjectStore& objects,
                          const Checkpoint& checkpoint, LogContents& contents) {
  for (const SegmentInfo& it : checkpoint.segments) {
    absl::StatusOr<std::string> bytes = objects.get(it.name);
    ++contents.reads;
    if (!bytes.ok()) return bytes.status();
    if (UnpackBatch(*bytes) == nullptr) {
      return absl::DataLossError("a segment is damaged");
    }
    contents.batches.push_back(std::move(*bytes));
  }
  return absl::OkStatus();
}

absl::Status ReadBatches(const TableService& table, const ObjectStore& objects,
                         std::string_view incarnation, uint64_t first,
                         LogContents& contents) {
  const absl::StatusOr<std::vector<Row>> rows =
      table.scan(BatchPrefix(incarnation));
  ++contents.reads;
  if (!rows.ok()) return rows.status();
  uint64_t expected = first;
  for (const Row& it : *rows) {
    const auto batch = BatchOfKey(it.key);
    // Batches below the checkpoint are in a segment; their rows are about to be
    // deleted.
    if (!batch || *batch < first) continue;
    if (*batch != expected) {
      return absl::DataLossError("a journal batch is missing");
    }
    ++expected;
    if (!ObjectNameIn(it.value).empty()) ++contents.reads;
    absl::StatusOr<std::string> bytes = BatchBytes(objects, it.value);
    if (!bytes.ok()) return bytes.status();
    contents.batches.push_back(std::move(*bytes));
  }
  return absl::OkStatus();
}

}  // namespace

absl::StatusOr<LogContents> ReadLog(const TableService& table,
                                    const ObjectStore& objects,
                                    std::string_view incarnation) {
  absl::Status status;
  for (int i = 0; i < kReadAttempts; ++i) {
    LogContents contents;
    const absl::StatusOr<CheckpointRow> before =
        ReadCheckpoint(table, incarnation);
    if (!before.ok()) return before.status();
    status = ReadSegments(objects, before->checkpoint, contents);
    if (status.ok()) {
      status = ReadBatches(table, objects, incarnation,
                           before->checkpoint.first_batch, contents);
    }
    const absl::StatusOr<CheckpointRow> after =
        ReadCheckpoint(table, incarnation);
    if (!after.ok()) return after.status();
    contents.reads += 2;
    if (before->version != after->version) continue;
    if (!status.ok()) return status;
    return contents;
  }
  return absl::AbortedError(
      "the log was compacted during every attempt to read it");
}

absl::StatusOr<bool> RemoveLog(const TableService& table,
                               const ObjectStore& objects,
                               std::string_view incarnation) {
  const absl::StatusOr<CheckpointRow> checkpoint =
      ReadCheckpoint(table, incarnation);
  if (!checkpoint.ok()) return checkpoint.status();
  for (const SegmentInfo& it : checkpoint->checkpoint.segments) {
    absl::Status status = objects.remove(it.name);
    if (!status.ok() && !absl::IsNotFound(status)) return status;
  }
  const absl::StatusOr<std::vector<Row>> rows =
      table.scan(BatchPrefix(incarnation));
  if (!rows.ok()) return rows.status();
  Transaction transaction;
  const size_t count = std::min(rows->size(), kRowsPerDelete);
  for (size_t i = 0; i < count; ++i) {
    const std::string object = ObjectNameIn((*rows)[i].value);
    if (!object.empty()) {
      absl::Status status = objects.remove(object);
      if (!status.ok() && !absl::IsNotFound(status)) return status;
    }
    transaction.writes.push_back({(*rows)[i].key, std::nullopt});
  }
  const bool last = count == rows->size();
  if (last) {
    transaction.writes.push_back({CheckpointKey(incarnation), std::nullopt});
    transaction.writes.push_back({FenceKey(incarnation), std::nullopt});
  }
  absl::Status status = table.commit(transaction);
  if (!status.ok()) return status;
  return last;
}

}  // namespace knapweed
