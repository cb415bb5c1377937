#ifndef KNAPWEED_JOURNAL_LOG_KEEPER_H_
#define KNAPWEED_JOURNAL_LOG_KEEPER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "knapweed/base/ids.h"
#include "knapweed/journal/log_rows.h"

namespace knapweed {

/// Identifies a record: all that a `RecordFilter` needs to know of it.
struct RecordRef {
  ProgramKey key;
  Epoch epoch;
  uint64_t sequence = 0;
  bool is_end = false;
};

/// Returns whether a record is still needed; the others are dropped when the
/// log is compacted.
using RecordFilter = std::function<bool(const RecordRef&)>;

/// Returns the identity of a stored record.
RecordRef RefOf(const journal::Record& record);

/// Compacts the log of one incarnation: moves durable batches from table rows
/// into segment objects, and rewrites segments whose records are mostly no
/// longer needed ("dead"). This bounds write amplification: each byte of a
/// history is written once as a batch, once into a segment, and again only when
/// more than half of that segment is dead or small segments are merged. Not
/// thread-safe; the `ProgramTable` calls it under its maintenance mutex.
class LogKeeper {
 public:
  LogKeeper(TableService table, ObjectStore objects, std::string incarnation);

  /// Writes the records as a new segment. They are durable and part of the log
  /// when this returns OK.
  absl::Status AddSegment(const std::vector<journal::RecordT>& records);
  /// Copies the needed records of the batches up to `last_batch` into a
  /// segment, and deletes the batch rows.
  absl::Status MoveBatches(uint64_t last_batch, const RecordFilter& needed);
  /// Rewrites segments of which less than half is needed, or else merges small
  /// ones. Writes at most one new segment.
  absl::Status Compact(const RecordFilter& needed);

  /// Whether any segment has a record of the program, other than an End record,
  /// with a sequence below `sequence`.
  bool HasRecordsBefore(const ProgramKey& key, uint64_t sequence) const;
  /// The last checkpoint that was written or read.
  const Checkpoint& checkpoint() const { return checkpoint_; }

 private:
  struct RecordStatsKey {
    ProgramKey key;
    Epoch epoch;
    bool is_end = false;
    auto operator<=>(const RecordStatsKey&) const = default;
  };
  /// Sizes and sequence range of the records of one program and epoch in one
  /// segment; End records are counted apart.
  struct RecordStats {
    uint64_t bytes = 0;
    uint64_t first_sequence = 0;
    uint64_t last_sequence = 0;
  };
  using SegmentStats = std::map<RecordStatsKey, RecordStats>;

  absl::Status ReloadCheckpoint();
  absl::Status SaveCheckpoint(Checkpoint next);
  absl::StatusOr<SegmentInfo> PutSegment(
      const std::vector<journal::RecordT>& records);
  bool MostlyDead(const SegmentInfo& segment, const RecordFilter& needed) const;
  std::vector<SegmentInfo> PickForCompaction(const RecordFilter& needed) const;
  absl::Status DeleteRows(const std::vector<Row>& rows);
  void DeleteUnreferencedSegments();

  const TableService table_;
  const ObjectStore objects_;
  const std::string incarnation_;
  Checkpoint checkpoint_;
  /// Version of the checkpoint row, the condition of its next write.
  uint64_t version_ = 0;
  uint64_t next_segment_ = 1;
  /// False after a failed write, until `ReloadCheckpoint` has read the row.
  bool checkpoint_known_ = true;
  /// By segment name; also has segments that are not in the checkpoint and
  /// still have to be deleted.
  std::map<std::string, SegmentStats> segment_stats_;
};

}  // namespace knapweed

#endif  // KNAPWEED_JOURNAL_LOG_KEEPER_H_
