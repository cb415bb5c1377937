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

// Keys of table rows and names of objects that make up a log.

/// "journal/INCARNATION/", the key prefix of a log's batch rows.
std::string BatchPrefix(std::string_view incarnation);
/// "journal/INCARNATION/BATCH", with the number padded so that keys sort by it.
std::string BatchKey(std::string_view incarnation, uint64_t batch);
/// The batch number at the end of a batch key; nullopt when there is none.
std::optional<uint64_t> BatchOfKey(std::string_view key);
/// "checkpoint/INCARNATION"
std::string CheckpointKey(std::string_view incarnation);
/// "batch/INCARNATION/BATCH", the object of a batch too large for its row.
std::string BatchObjectName(std::string_view incarnation, uint64_t batch);
/// "segment/INCARNATION/NUMBER"
std::string SegmentName(std::string_view incarnation, uint64_t number);

/// A segment object listed in a checkpoint.
struct SegmentInfo {
  std::string name;
  uint64_t bytes = 0;
  bool operator==(const SegmentInfo&) const = default;
};

/// Content of the row "checkpoint/INCARNATION". The log consists of these
/// segments and of the batches from `first_batch` on. `revision` increases with
/// each write, so that no two versions of the row have the same value.
struct Checkpoint {
  std::vector<SegmentInfo> segments;
  uint64_t first_batch = 1;
  uint64_t revision = 0;
};

/// Converts a checkpoint to and from its JSON text. `DecodeCheckpoint` returns
/// nullopt for malformed text.
std::string EncodeCheckpoint(const Checkpoint& checkpoint);
std::optional<Checkpoint> DecodeCheckpoint(std::string_view text);

/// Serializes a batch or segment.
std::string PackBatch(std::string_view incarnation, uint64_t batch,
                      const std::vector<journal::RecordT>& records);
/// Verifies a serialized batch or segment and returns a view into `bytes`; null
/// when it is malformed.
const journal::Batch* UnpackBatch(std::string_view bytes);

/// The value of a batch row: the batch in base64, or the name and SHA-256 hash
/// of the object that holds it.
std::string InlineRowText(std::string_view bytes);
std::string ObjectRowText(std::string_view name, std::string_view bytes);
/// The object name in a batch row; empty when the row holds the batch itself.
std::string ObjectNameIn(std::string_view row_text);
/// Returns the serialized batch of a row, read from the object store if the row
/// refers to an object. DataLoss when the batch is damaged.
absl::StatusOr<std::string> BatchBytes(const ObjectStore& objects,
                                       std::string_view row_text);

/// A complete log: its serialized segments and batches, for `UnpackBatch`.
/// `reads` is the number of read requests sent to the stores.
struct LogContents {
  std::vector<std::string> batches;
  uint64_t reads = 0;
};

/// Reads the log of an incarnation; its owner may write and compact it
/// meanwhile. Returns an empty log when there is none, DataLoss when the log is
/// damaged or incomplete, and Aborted when compaction changed the checkpoint
/// during every attempt.
absl::StatusOr<LogContents> ReadLog(const TableService& table,
                                    const ObjectStore& objects,
                                    std::string_view incarnation);

/// Deletes a log that no partition row refers to any more, and finally its
/// closed fence. Each call deletes a bounded number of batch rows; returns
/// false when some are left.
absl::StatusOr<bool> RemoveLog(const TableService& table,
                               const ObjectStore& objects,
                               std::string_view incarnation);

}  // namespace knapweed

#endif  // KNAPWEED_JOURNAL_LOG_ROWS_H_
