#ifndef KNAPWEED_JOURNAL_JOURNAL_H_
#define KNAPWEED_JOURNAL_JOURNAL_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "knapweed/base/clock.h"
#include "knapweed/journal/journal_generated.h"
#include "knapweed/platform/object_store.h"
#include "knapweed/platform/table_service.h"

namespace knapweed {

/// Configuration of a `Journal`.
struct JournalOptions {
  /// The process incarnation that owns the log.
  std::string incarnation;
  /// `Append` fails when the records waiting to be written would exceed this.
  size_t max_pending_bytes = 64 << 20;
  /// A larger encoded batch is written to the object store; its table row then
  /// holds the object's name.
  size_t max_row_bytes = 100 << 10;
  /// Upper bound of one commit. A group appended by one call is never split, so
  /// a single larger group still makes up a commit.
  size_t max_batch_bytes = 4 << 20;
  /// Under load the writer delays a commit until about this many records have
  /// arrived, or until `max_commit_interval` after the previous commit started.
  uint32_t target_batch_records = 32;
  Ms max_commit_interval = Ms{50};
};

/// A position in the log: the number of records appended up to it.
struct JournalPosition {
  uint64_t n = 0;
  auto operator<=>(const JournalPosition&) const = default;
};

/// Counters of what a journal has written; `Journal::Progress` returns them.
struct JournalProgress {
  /// Number of the last durable batch; batches are numbered from 1.
  uint64_t last_batch = 0;
  uint64_t commits = 0;
  uint64_t records = 0;
  uint64_t bytes = 0;
  /// Bytes of records that are appended and not yet durable.
  size_t pending_bytes = 0;
};

/// Write-ahead log of one process incarnation, owned by the `ProgramTable`.
///
/// A writer thread commits records in batches. Each batch is one table row,
/// "journal/INCARNATION/BATCH", written on the condition that the incarnation's
/// fence is open. At a low append rate each record is committed at once; while
/// a commit is in flight, further records collect in the next batch. Records
/// become durable in the order in which they were appended. Thread-safe.
class Journal {
 public:
  Journal(TableService table, ObjectStore objects, const Clock& clock,
          JournalOptions options);
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  /// Starts the writer thread.
  void Start();
  /// Stops and joins the writer thread. Records that are not durable by then
  /// are discarded.
  void Stop();

  /// Appends records that become durable together, and returns the position
  /// after them. Does not block. ResourceExhausted when `max_pending_bytes`
  /// would be exceeded; FailedPrecondition once the log is fenced or stopped.
  absl::StatusOr<JournalPosition> Append(std::vector<journal::RecordT> records);
  /// Blocks until all records up to `position` are durable. DeadlineExceeded
  /// when `deadline` passes first; the records may still become durable.
  /// FailedPrecondition when the log was fenced or stopped first: they never
  /// will.
  absl::Status Wait(JournalPosition position, Ms deadline);
  /// Whether all records up to `position` are durable.
  bool Durable(JournalPosition position) const;
  /// Whether the writer found the fence closed or the log taken by another
  /// writer. Permanent.
  bool Fenced() const;
  /// The position after the last appended record.
  JournalPosition end() const;
  JournalProgress Progress() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweed

#endif  // KNAPWEED_JOURNAL_JOURNAL_H_
