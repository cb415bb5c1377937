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

struct JournalOptions {
  std::string incarnation;
  /// Records waiting to be written; over it `Append` refuses.
  size_t max_pending_bytes = 64 << 20;
  /// A batch over this size goes to the object store, and its row names it.
  size_t max_row_bytes = 100 << 10;
  /// One commit takes no more records once it holds this much.
  size_t max_batch_bytes = 4 << 20;
  /// Under load the writer starts a commit for this many records, or
  /// `max_commit_interval` after the last start.
  uint32_t target_batch_records = 32;
  Ms max_commit_interval = Ms{50};
};

/// A place in the log: everything appended so far.
struct JournalPosition {
  uint64_t n = 0;
  auto operator<=>(const JournalPosition&) const = default;
};

/// How far a log has been written.
struct JournalProgress {
  /// The last batch that is durable; batches are numbered from 1.
  uint64_t last_batch = 0;
  uint64_t commits = 0;
  uint64_t records = 0;
  uint64_t bytes = 0;
  size_t pending_bytes = 0;
};

/// The log of one incarnation, written in batches: one row
/// "journal/INCARNATION/BATCH" for each, conditional on the incarnation's open
/// fence. An idle log commits at once; while a commit is in flight the next
/// batch grows. Records become durable in the order in which they were
/// appended. Safe from any thread.
class Journal {
 public:
  Journal(TableService table, ObjectStore objects, const Clock& clock,
          JournalOptions options);
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  /// Starts the writer's thread.
  void Start();
  /// Stops it; what is not durable by then is lost.
  void Stop();

  /// Appends records that become durable together. ResourceExhausted over the
  /// bound; FailedPrecondition once the log is fenced.
  absl::StatusOr<JournalPosition> Append(std::vector<journal::RecordT> records);
  /// Blocks until everything up to `position` is durable. DeadlineExceeded when
  /// it is not yet; it may become so later. FailedPrecondition when the log was
  /// fenced first: it never will.
  absl::Status Wait(JournalPosition position, Ms deadline);
  bool Durable(JournalPosition position) const;
  bool Fenced() const;
  JournalPosition end() const;
  JournalProgress Progress() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweed

#endif  // KNAPWEED_JOURNAL_JOURNAL_H_
