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

/// What decides whether a record still counts.
struct RecordRef {
  ProgramKey key;
  Epoch epoch;
  uint64_t sequence = 0;
  bool is_end = false;
};

/// Whether a record is still needed.
using RecordFilter = std::function<bool(const RecordRef&)>;

RecordRef RefOf(const journal::Record& record);

/// Keeps an incarnation's log short: moves its written batches into segments,
/// and rewrites segments of which little is still needed. Each byte of a
/// history is written once as a batch, once into a segment, and again only when
/// half of that segment is dead. Not safe from several threads.
class LogKeeper {
 public:
  LogKeeper(TableService table, ObjectStore objects, std::string incarnation);

  /// Adds a segment of records; durable and part of the log when it returns OK.
  absl::Status AddSegment(const std::vector<journal::RecordT>& records);
  /// Moves the batches up to `last_batch` into a segment, without those that
  /// the filter drops, and deletes their rows.
  absl::Status MoveBatches(uint64_t last_batch, const RecordFilter& needed);
  /// Rewrites the segments of which less than half is needed, and joins small
  /// ones; at most one new segment in each call.
  absl::Status Compact(const RecordFilter& needed);

  /// Whether a segment holds a record of the program before `sequence`.
  bool HasRecordsBefore(const ProgramKey& key, uint64_t sequence) const;
  const Checkpoint& checkpoint() const { return checkpoint_; }

 private:
  struct RecordStatsKey {
    ProgramKey key;
    Epoch epoch;
    bool is_end = false;
    auto operator<=>(const RecordStatsKey&) const = default;
  };
  /// The records of one program and epoch in one segment.
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
  uint64_t version_ = 0;
  uint64_t next_segment_ = 1;
  bool checkpoint_known_ = true;
  std::map<std::string, SegmentStats> segment_stats_;
};

}  // namespace knapweed

#endif  // KNAPWEED_JOURNAL_LOG_KEEPER_H_
