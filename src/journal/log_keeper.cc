#include "knapweed/journal/log_keeper.h"

#include <algorithm>
#include <utility>

#include "knapweed/membership/rows.h"

namespace knapweed {
namespace {

/// Rows deleted in one transaction.
constexpr size_t kRowsPerDelete = 64;
/// Above this number segments are merged, the smallest first, so that recovery
/// reads few objects.
constexpr size_t kMaxSegments = 16;
constexpr size_t kSegmentsPerMerge = 8;
/// Segments are merged only if the two smallest are at most this large.
/// Otherwise a segment is rewritten only when more than half of its bytes are
/// dead.
constexpr uint64_t kMergeBelowBytes = 4 << 20;

/// Appends the needed records of a batch or segment to `records`.
void CopyNeededRecords(const journal::Batch& batch, const RecordFilter& needed,
                       std::vector<journal::RecordT>& records) {
  if (batch.records() == nullptr) return;
  for (const journal::Record* it : *batch.records()) {
    if (!needed(RefOf(*it))) continue;
    records.emplace_back();
    it->UnPackTo(&records.back());
  }
}

/// Approximate size in bytes, at least 1; used only to estimate which part
/// of a segment is needed.
uint64_t SizeOf(const journal::RecordT& record) {
  uint64_t n = record.body.size() + record.idempotency_key.size();
  for (const std::string& it : record.added) n += it.size();
  return n + 1;
}

}  // namespace

RecordRef RefOf(const journal::Record& record) {
  RecordRef ref;
  if (record.workspace()) {
    ref.key.workspace = WorkspaceId(record.workspace()->str());
  }
  if (record.program()) ref.key.program = ProgramId(record.program()->str());
  ref.epoch = Epoch{record.epoch()};
  ref.sequence = record.sequence();
  ref.is_end = record.kind() == journal::RecordKind::End;
  return ref;
}

LogKeeper::LogKeeper(TableService table, ObjectStore objects,
                     std::string incarnation)
    : table_(std::move(table)),
      objects_(std::move(objects)),
      incarnation_(std::move(incarnation)) {}

/// Reads the checkpoint from the store if the result of the last write is
/// unknown.
absl::Status LogKeeper::ReloadCheckpoint() {
  if (checkpoint_known_) return absl::OkStatus();
  const absl::StatusOr<Row> row = table_.get(CheckpointKey(incarnation_));
  if (absl::IsNotFound(row.status())) {
    checkpoint_ = Checkpoint{};
    version_ = 0;
  } else if (!row.ok()) {
    return row.status();
  } else {
    auto found = DecodeCheckpoint(row->value);
    if (!found) return absl::DataLossError("a checkpoint row is damaged");
    checkpoint_ = std::move(*found);
    version_ = row->version;
  }
  checkpoint_known_ = true;
  return absl::OkStatus();
}

/// Writes the checkpoint, on the condition that the fence is open and the row
/// has not changed, and then deletes the segments that it no longer lists.
absl::Status LogKeeper::SaveCheckpoint(Checkpoint next) {
  next.revision = checkpoint_.revision + 1;
  const std::string key = CheckpointKey(incarnation_);
  Transaction transaction;
  transaction.conditions = {{FenceKey(incarnation_), kOpenFenceVersion},
                            {key, version_}};
  transaction.writes = {{key, EncodeCheckpoint(next)}};
  absl::Status status = CommitAndConfirm(table_, transaction, key);
  if (!status.ok()) {
    checkpoint_known_ = false;
    return status;
  }
  checkpoint_ = std::move(next);
  ++version_;
  DeleteUnreferencedSegments();
  return status;
}

/// Deletes segments that the checkpoint does not list. Called only after a
/// successful checkpoint write, since after it no earlier write can still take
/// effect and refer to them.
void LogKeeper::DeleteUnreferencedSegments() {
  for (auto it = segment_stats_.begin(); it != segment_stats_.end();) {
    const auto& segments = checkpoint_.segments;
    const bool referenced = std::any_of(
        segments.begin(), segments.end(),
        [&](const SegmentInfo& segment) { return segment.name == it->first; });
    if (referenced) {
      ++it;
      continue;
    }
    // If the deletion fails, it is retried after the next checkpoint write.
    absl::Status status = objects_.remove(it->first);
    const bool deleted = status.ok() || absl::IsNotFound(status);
    it = deleted ? segment_stats_.erase(it) : std::next(it);
  }
}

/// Writes a segment object; it is part of the log once a checkpoint lists it.
absl::StatusOr<SegmentInfo> LogKeeper::PutSegment(
    const std::vector<journal::RecordT>& records) {
  const uint64_t number = next_segment_++;
  const std::string name = SegmentName(incarnation_, number);
  SegmentStats& stats = segment_stats_[name];
  for (const journal::RecordT& it : records) {
    const ProgramKey key{WorkspaceId(it.workspace), ProgramId(it.program)};
    const bool is_end = it.kind == journal::RecordKind::End;
    const auto [entry, inserted] = stats.try_emplace(
        RecordStatsKey{key, Epoch{it.epoch}, is_end}, RecordStats{});
    RecordStats& sum = entry->second;
    sum.bytes += SizeOf(it);
    if (inserted || it.sequence < sum.first_sequence) {
      sum.first_sequence = it.sequence;
    }
    sum.last_sequence = std::max(sum.last_sequence, it.sequence);
  }
  const std::string bytes = PackBatch(incarnation_, number, records);
  absl::Status status = objects_.put(name, bytes);
  if (!status.ok()) return status;
  return SegmentInfo{name, bytes.size()};
}

absl::Status LogKeeper::AddSegment(
    const std::vector<journal::RecordT>& records) {
  absl::Status status = ReloadCheckpoint();
  if (!status.ok() || records.empty()) return status;
  absl::StatusOr<SegmentInfo> segment = PutSegment(records);
  if (!segment.ok()) return segment.status();
  Checkpoint next = checkpoint_;
  next.segments.push_back(std::move(*segment));
  return SaveCheckpoint(std::move(next));
}

absl::Status LogKeeper::MoveBatches(uint64_t last_batch,
                                    const RecordFilter& needed) {
  absl::Status status = ReloadCheckpoint();
  if (!status.ok() || last_batch < checkpoint_.first_batch) return status;
  const absl::StatusOr<std::vector<Row>> rows =
      table_.scan(BatchPrefix(incarnation_));
  if (!rows.ok()) return rows.status();
  std::vector<Row> moved;
  std::vector<journal::RecordT> records;
  uint64_t expected = checkpoint_.first_batch;
  for (const Row& it : *rows) {
    const auto batch = BatchOfKey(it.key);
    if (!batch || *batch > last_batch) continue;
    moved.push_back(it);
    // Already in a segment: a row that an earlier deletion missed, or that a
    // delayed duplicate of a commit wrote again.
    if (*batch < checkpoint_.first_batch) continue;
    if (*batch != expected) return absl::DataLossError("a batch is missing");
    ++expected;
    const absl::StatusOr<std::string> bytes = BatchBytes(objects_, it.value);
    if (!bytes.ok()) return bytes.status();
    CopyNeededRecords(*UnpackBatch(*bytes), needed, records);
  }
  if (expected != last_batch + 1) {
    return absl::DataLossError("a batch is missing");
  }
  Checkpoint next = checkpoint_;
  next.first_batch = last_batch + 1;
  if (!records.empty()) {
    absl::StatusOr<SegmentInfo> segment = PutSegment(records);
    if (!segment.ok()) return segment.status();
    next.segments.push_back(std::move(*segment));
  }
  status = SaveCheckpoint(std::move(next));
  if (!status.ok()) return status;
  return DeleteRows(moved);
}

absl::Status LogKeeper::DeleteRows(const std::vector<Row>& rows) {
  for (size_t begin = 0; begin < rows.size(); begin += kRowsPerDelete) {
    const size_t end = std::min(begin + kRowsPerDelete, rows.size());
    Transaction transaction;
    for (size_t i = begin; i < end; ++i) {
      transaction.writes.push_back({rows[i].key, std::nullopt});
    }
    // After a failure the remaining rows lie below the checkpoint's
    // first_batch; readers skip them, and the next MoveBatches deletes them.
    absl::Status status = table_.commit(transaction);
    if (!status.ok()) return status;
    for (size_t i = begin; i < end; ++i) {
      const std::string object = ObjectNameIn(rows[i].value);
      if (!object.empty()) objects_.remove(object).IgnoreError();
    }
  }
  return absl::OkStatus();
}

/// Whether less than half of a segment is needed.
bool LogKeeper::MostlyDead(const SegmentInfo& segment,
                           const RecordFilter& needed) const {
  const auto stats = segment_stats_.find(segment.name);
  if (stats == segment_stats_.end()) return false;
  uint64_t all_bytes = 0;
  uint64_t needed_bytes = 0;
  for (const auto& [key, sum] : stats->second) {
    all_bytes += sum.bytes;
    const RecordRef ref{key.key, key.epoch, sum.last_sequence, key.is_end};
    if (needed(ref)) needed_bytes += sum.bytes;
  }
  return needed_bytes * 2 < all_bytes;
}

/// Returns the mostly dead segments, or else, when there are too many segments,
/// the smallest ones.
std::vector<SegmentInfo> LogKeeper::PickForCompaction(
    const RecordFilter& needed) const {
  std::vector<SegmentInfo> picked;
  for (const SegmentInfo& it : checkpoint_.segments) {
    if (MostlyDead(it, needed)) picked.push_back(it);
    if (picked.size() == kSegmentsPerMerge) return picked;
  }
  if (!picked.empty() || checkpoint_.segments.size() <= kMaxSegments) {
    return picked;
  }
  std::vector<SegmentInfo> by_size = checkpoint_.segments;
  std::sort(by_size.begin(), by_size.end(),
            [](const SegmentInfo& a, const SegmentInfo& b) {
              return a.bytes < b.bytes;
            });
  by_size.resize(kSegmentsPerMerge);
  if (by_size[1].bytes > kMergeBelowBytes) return {};
  return by_size;
}

absl::Status LogKeeper::Compact(const RecordFilter& needed) {
  absl::Status status = ReloadCheckpoint();
  if (!status.ok()) return status;
  const std::vector<SegmentInfo> picked = PickForCompaction(needed);
  if (picked.empty()) return absl::OkStatus();
  std::vector<journal::RecordT> records;
  for (const SegmentInfo& it : picked) {
    const absl::StatusOr<std::string> bytes = objects_.get(it.name);
    if (!bytes.ok()) return bytes.status();
    const journal::Batch* batch = UnpackBatch(*bytes);
    if (batch == nullptr) return absl::DataLossError("a segment is damaged");
    CopyNeededRecords(*batch, needed, records);
  }
  Checkpoint next = checkpoint_;
  std::erase_if(next.segments, [&](const SegmentInfo& it) {
    return std::find(picked.begin(), picked.end(), it) != picked.end();
  });
  if (!records.empty()) {
    absl::StatusOr<SegmentInfo> segment = PutSegment(records);
    if (!segment.ok()) return segment.status();
    next.segments.push_back(std::move(*segment));
  }
  return SaveCheckpoint(std::move(next));
}

bool LogKeeper::HasRecordsBefore(const ProgramKey& key,
                                 uint64_t sequence) const {
  for (const auto& [name, stats] : segment_stats_) {
    auto it = stats.lower_bound(RecordStatsKey{key, Epoch{0}, false});
    for (; it != stats.end() && it->first.key == key; ++it) {
      const bool before = it->second.first_sequence < sequence;
      if (!it->first.is_end && before) return true;
    }
  }
  return false;
}

}  // namespace knapweed
