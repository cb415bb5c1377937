#ifndef KNAPWEED_JOURNAL_LOG_ROWS_H_
#define KNAPWEED_JOURNAL_LOG_ROWS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "knapweed/journal/journal_generated.h"
#include "knapweed/platform/object_store.h"
#include "knapweed/platform/table_service.h"

namespace knapweed {

/// "journal/INCARNATION/"
std::string BatchPrefix(std::string_view incarnation);
std::string BatchKey(std::string_view incarnation, uint64_t batch);
std::optional<uint64_t> BatchOfKey(std::string_view key);
/// "checkpoint/INCARNATION"
std::string CheckpointKey(std::string_view incarnation);
std::string BatchObjectName(std::string_view incarnation, uint64_t batch);
std::string SegmentName(std::string_view incarnation, uint64_t number);

/// A segment object that a checkpoint names.
struct SegmentInfo {
  std::string name;
  uint64_t bytes = 0;
  bool operator==(const SegmentInfo&) const = default;
};

/// What "checkpoint/INCARNATION" holds: the log is these segments and the
/// batches from `first_batch` on. `revision` rises with each write.
struct Checkpoint {
  std::vector<SegmentInfo> segments;
  uint64_t first_batch = 1;
  uint64_t revision = 0;
};

std::string EncodeCheckpoint(const Checkpoint& checkpoint);
std::optional<Checkpoint> DecodeCheckpoint(std::string_view text);

/// The bytes of a batch or segment.
std::string PackBatch(std::string_view incarnation, uint64_t batch,
                      const std::vector<journal::RecordT>& records);
/// Null when the bytes are not a batch.
const journal::Batch* UnpackBatch(std::string_view bytes);

/// The text of a batch's row: the batch itself, or the name of its object.
std::string InlineRowText(std::string_view bytes);
std::string ObjectRowText(std::string_view name, std::string_view bytes);
/// The object that a batch's row names; empty when the row holds the batch.
std::string ObjectNameIn(std::string_view row_text);
/// The batch's bytes, read from the object store where the row names one.
/// DataLoss when they are damaged.
absl::StatusOr<std::string> BatchBytes(const ObjectStore& objects,
                                       std::string_view row_text);

/// A whole log: the raw segments and batches, each of which `UnpackBatch`
/// reads. `reads` counts what was asked of the stores.
struct LogContents {
  std::vector<std::string> batches;
  uint64_t reads = 0;
};

/// Reads the log of an incarnation, also while its owner writes and compacts
/// it. Empty when there is none.
absl::StatusOr<LogContents> ReadLog(const TableService& table,
                                    const ObjectStore& objects,
                                    std::string_view incarnation);

/// Deletes a log that no partition names any more, and last its closed fence.
/// Bounded work; false when more is left.
absl::StatusOr<bool> RemoveLog(const TableService& table,
                               const ObjectStore& objects,
                               std::string_view incarnation);

}  // namespace knapweed

#endif  // KNAPWEED_JOURNAL_LOG_ROWS_H_
