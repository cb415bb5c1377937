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

/// The last End record of a name. `position` is a place in this log by which
/// everything older of the program stands.
struct Tombstone {
  uint64_t sequence = 0;
  JournalPosition position;
};

/// A partition as this process holds it.
struct OwnedPartition {
  Epoch epoch;
  bool serving = false;
  uint32_t in_flight = 0;
  std::unordered_map<ProgramKey, ProgramPtr> programs;
  /// Programs that ended, while older records of them may be left in a log.
  std::map<ProgramKey, Tombstone> tombstones;

  /// The sequence of a name's last End record; 0 when it never ended.
  uint64_t EndSequence(const ProgramKey& key) const {
    const auto it = tombstones.find(key);
    return it == tombstones.end() ? 0 : it->second.sequence;
  }
  /// Records in this log below this epoch are dead; none while no partition row
  /// names this log.
  std::optional<Epoch> min_epoch;
  /// Logs of others that the partition's row still names.
  bool has_foreign_sources = false;
};

/// A log read for recovery, sorted by partition.
struct IndexedLog {
  LogContents contents;
  std::vector<std::vector<const journal::Record*>> by_partition;
};

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

  mutable std::mutex mu;
  std::condition_variable drained;
  std::string incarnation;
  std::shared_ptr<Journal> journal;
  std::vector<OwnedPartition> partitions;
  uint64_t next_ticket = 1;

  /// Serialises recovery and upkeep; taken before `mu`.
  std::mutex maintenance_mu;
  std::unique_ptr<LogKeeper> keeper;
  uint64_t moved_batches = 0;
  uint64_t moved_bytes = 0;
  JournalPosition moved_position;
  Ms last_cleanup;
  std::string cached_source;
  std::shared_ptr<const IndexedLog> cached_log;
  Ms cached_at;
  uint64_t recovery_reads = 0;

  std::mutex thread_mu;
  std::condition_variable wake;
  bool stop = false;
  std::thread thread;
};

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
