#ifndef KNAPWEED_PROGRAM_PROGRAM_TABLE_IMPL_H_
#define KNAPWEED_PROGRAM_PROGRAM_TABLE_IMPL_H_

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "knapweed/journal/journal.h"
#include "knapweed/journal/log_keeper.h"
#include "knapweed/membership/rows.h"
#include "program.h"

namespace knapweed {

using ProgramPtr = std::shared_ptr<Program>;

/// The last End record of a program name. All older records of the program in
/// this log lie at or before `position`.
struct Tombstone {
  uint64_t sequence = 0;
  JournalPosition position;
};

/// Runtime state of a partition in this process; guarded by the table's mutex.
/// An epoch of zero means that the partition is not owned.
struct OwnedPartition {
  Epoch epoch;
  /// Whether new calls are admitted; false while the partition is released.
  bool serving = false;
  /// Number of calls between `Begin` and `Finish`.
  uint32_t in_flight = 0;
  std::unordered_map<ProgramKey, ProgramPtr> programs;
  /// Ended programs that may still have older records in a log.
  std::map<ProgramKey, Tombstone> tombstones;

  /// Sequence of the last End record of a program; 0 when there is none.
  uint64_t EndSequence(const ProgramKey& key) const {
    const auto it = tombstones.find(key);
    return it == tombstones.end() ? 0 : it->second.sequence;
  }
  /// Records of the partition in this log with a lower epoch are no longer
  /// needed. Empty when the partition's row does not list this log, so that
  /// none of them is needed.
  std::optional<Epoch> min_epoch;
  /// Whether the partition's row still lists logs of other incarnations.
  bool has_foreign_sources = false;
};

/// A log that was read for recovery, with its records grouped by partition. The
/// records point into `contents`.
struct IndexedLog {
  LogContents contents;
  std::vector<std::vector<const journal::Record*>> by_partition;
};

/// Implementation of `ProgramTable`, shared with its holds, which may outlive
/// the table.
struct ProgramTable::Impl : std::enable_shared_from_this<ProgramTable::Impl> {
  Impl(TableService table_in, ObjectStore objects_in, const Clock& clock_in,
       std::string incarnation_in, ProgramTableOptions options_in);

  // program_table.cc
  BeginResult Begin(const CallIdentity& identity, const ProgramBudget& budget,
                    Ms deadline);
  std::optional<CallError> WaitForTurn(std::unique_lock<std::mutex>& lock,
                                       OwnedPartition& partition,
                                       const ProgramPtr& program, Epoch epoch,
                                       Ms deadline);
  std::optional<CallError> CheckBudget(const TurnHold::State& state) const;
  BeginResult ReturnKeptOutcome(std::unique_lock<std::mutex>& lock,
                                const KeptOutcome& kept, uint64_t digest);
  uint64_t TokensLeft(const TurnHold::State& state) const;
  void SetReserved(TurnHold::State& state, uint64_t tokens);
  void Release(TurnHold::State& state);
  bool StillOwned(const TurnHold::State& state) const;
  absl::Status RecordIntent(TurnHold::State& state, const Intent& intent);
  absl::Status Finish(TurnHold::State& state, const CallOutcome& outcome);
  absl::StatusOr<JournalPosition> AppendTurn(TurnHold::State& state,
                                             const CallOutcome& outcome);
  absl::Status End(const ProgramKey& key);
  absl::StatusOr<JournalPosition> AppendEnd(const ProgramKey& key);
  void AssignSequence(Program& program, Epoch epoch,
                      journal::RecordT& record) const;
  ProgramPtr FindOrCreate(OwnedPartition& partition, const ProgramKey& key);
  static void EraseIfUnrecorded(OwnedPartition& partition,
                                const ProgramKey& key);
  Ms RecordDeadline() const { return clock.Now() + options.record_timeout; }

  // ownership.cc
  absl::Status Open(const std::string& name);
  absl::Status AcquirePartition(PartitionId id, Epoch epoch);
  absl::Status ReleasePartition(PartitionId id);
  bool FencedInStore(const std::string& name) const;
  absl::StatusOr<std::shared_ptr<const IndexedLog>> ReadSource(
      const std::string& source);
  void Replay(const std::vector<const journal::Record*>& records,
              JournalPosition log_end, OwnedPartition& partition) const;

  // upkeep.cc
  absl::Status Maintain();
  bool ServesRow(PartitionId id, const PartitionRow& row) const;
  absl::Status CopyForeignLogs();
  absl::Status CopyForeignLog(const std::string& source,
                              const std::vector<PartitionId>& partitions);
  std::vector<journal::RecordT> RecordsToCopy(const IndexedLog& log,
                                              PartitionId id, Epoch since);
  void EndIdlePrograms();
  void PruneTombstones();
  absl::Status PruneMinEpochs();
  absl::Status DeleteUnreferencedLog();
  bool Needed(const RecordRef& ref) const;
  void Run();
  void StopThread();

  const TableService table;
  const ObjectStore objects;
  const Clock& clock;
  const ProgramTableOptions options;

  /// Guards the members below it, up to `next_ticket`, and all programs.
  mutable std::mutex mu;
  /// Notified when a call in flight ends.
  std::condition_variable drained;
  std::string incarnation;
  std::shared_ptr<Journal> journal;
  std::vector<OwnedPartition> partitions;
  uint64_t next_ticket = 1;

  /// Serialises recovery and maintenance, and guards the members below it;
  /// locked before `mu`.
  std::mutex maintenance_mu;
  std::unique_ptr<LogKeeper> keeper;
  /// How much of the journal has been moved into segments.
  uint64_t moved_batches = 0;
  uint64_t moved_bytes = 0;
  JournalPosition moved_position;
  Ms last_cleanup;
  /// The log read last by `ReadSource`, if its fence was closed.
  std::string cached_source;
  std::shared_ptr<const IndexedLog> cached_log;
  Ms cached_at;
  /// Read requests made for recovery, for `DumpJson`.
  uint64_t recovery_reads = 0;

  /// Guards `stop`, which ends the maintenance thread.
  std::mutex thread_mu;
  std::condition_variable wake;
  bool stop = false;
  std::thread thread;
};

/// A call between `Begin` and `Finish`. Destruction gives the program's turn to
/// the next call.
struct TurnHold::State {
  ~State();

  std::shared_ptr<ProgramTable::Impl> table;
  ProgramPtr program;
  std::vector<ProgramPtr> ancestors;
  CallIdentity identity;
  ProgramBudget budget;
  PartitionId partition;
  Epoch epoch;
  uint64_t reserved = 0;
  std::optional<Intent> open_intent;
  bool intent_written = false;
  bool released = false;
};

}  // namespace knapweed

#endif  // KNAPWEED_PROGRAM_PROGRAM_TABLE_IMPL_H_
