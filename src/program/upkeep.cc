#include <algorithm>
#include <set>

#include "knapweed/base/log.h"
#include "program_table_impl.h"

namespace knapweed {
namespace {

constexpr Logger kLog("program");
/// How long `ReadSource` caches a log.
constexpr Ms kReadLogTtl = Seconds(10);

Ms IdleLimitOf(const ProgramKey& key, const ProgramTableOptions& options) {
  const bool unnamed = key.program.value.starts_with(kUnnamedProgramPrefix);
  return unnamed ? options.unnamed_idle_limit : options.idle_limit;
}

}  // namespace

/// Whether a record of this log is still needed for a recovery or for the next
/// owner's copy. Requires `mu`.
bool ProgramTable::Impl::Needed(const RecordRef& ref) const {
  const PartitionId id = PartitionOf(ref.key, options.partition_count);
  const OwnedPartition& partition = partitions[id.n];
  if (!partition.min_epoch || ref.epoch < *partition.min_epoch) return false;
  // The partition was handed over, and the next owner has not copied it yet.
  if (partition.epoch == Epoch{}) return true;
  const uint64_t end = partition.EndSequence(ref.key);
  return ref.is_end ? ref.sequence == end : ref.sequence > end;
}

absl::Status ProgramTable::Impl::Maintain() {
  std::lock_guard<std::mutex> maintenance_lock(maintenance_mu);
  std::shared_ptr<Journal> log;
  {
    std::lock_guard<std::mutex> lock(mu);
    log = journal;
  }
  if (!log || log->Fenced()) return absl::OkStatus();
  if (cached_log && clock.Now() - cached_at > kReadLogTtl) cached_log.reset();
  EndIdlePrograms();
  absl::Status status = CopyForeignLogs();
  if (!status.ok()) return status;
  const JournalProgress progress = log->Progress();
  const bool many =
      progress.last_batch - moved_batches >= options.move_after_batches;
  const bool large = progress.bytes - moved_bytes >= options.move_after_bytes;
  const RecordFilter needed = [this](const RecordRef& ref) {
    std::lock_guard<std::mutex> lock(mu);
    return Needed(ref);
  };
  if (many || large) {
    status = PruneMinEpochs();
    if (!status.ok()) return status;
    status = keeper->MoveBatches(progress.last_batch, needed);
    if (!status.ok()) return status;
    moved_batches = progress.last_batch;
    moved_bytes = progress.bytes;
    moved_position = JournalPosition{progress.records};
  }
  status = keeper->Compact(needed);
  if (!status.ok()) return status;
  PruneTombstones();
  if (clock.Now() - last_cleanup < options.log_deletion_interval) return status;
  last_cleanup = clock.Now();
  return DeleteUnreferencedLog();
}

/// Whether this process serves the partition with the owner and epoch in `row`.
bool ProgramTable::Impl::ServesRow(PartitionId id,
                                   const PartitionRow& row) const {
  std::lock_guard<std::mutex> lock(mu);
  return row.incarnation == incarnation && partitions[id.n].serving &&
         partitions[id.n].epoch == row.epoch;
}

/// Copies the records of this process's partitions from the logs of other
/// incarnations into its own log, and then removes those logs from the
/// partitions' rows.
absl::Status ProgramTable::Impl::CopyForeignLogs() {
  std::vector<PartitionId> foreign;
  {
    std::lock_guard<std::mutex> lock(mu);
    for (uint32_t n = 0; n < partitions.size(); ++n) {
      const OwnedPartition& it = partitions[n];
      if (it.serving && it.has_foreign_sources) {
        foreign.push_back(PartitionId{n});
      }
    }
  }
  std::map<std::string, std::vector<PartitionId>> by_source;
  for (const PartitionId it : foreign) {
    const absl::StatusOr<Row> row = table.get(PartitionKey(it));
    if (!row.ok()) return row.status();
    const auto found = DecodePartition(row->value);
    if (!found || !ServesRow(it, *found)) continue;
    if (found->sources.size() == 1) {
      // An earlier round's transaction took effect; its response was lost.
      std::lock_guard<std::mutex> lock(mu);
      partitions[it.n].has_foreign_sources = false;
    }
    for (const PartitionSource& source : found->sources) {
      if (source.incarnation == incarnation) continue;
      by_source[source.incarnation].push_back(it);
    }
  }
  for (const auto& [source, ids] : by_source) {
    absl::Status status = CopyForeignLog(source, ids);
    if (!status.ok()) return status;
  }
  return absl::OkStatus();
}

/// Copies the records of the given partitions from one log into a new segment,
/// and removes that log from the partitions' rows.
absl::Status ProgramTable::Impl::CopyForeignLog(
    const std::string& source, const std::vector<PartitionId>& ids) {
  const auto log = ReadSource(source);
  if (!log.ok()) return log.status();
  Transaction transaction;
  transaction.conditions.push_back({FenceKey(incarnation), kOpenFenceVersion});
  std::vector<journal::RecordT> records;
  std::vector<PartitionId> copied;
  for (const PartitionId id : ids) {
    const absl::StatusOr<Row> row = table.get(PartitionKey(id));
    if (!row.ok()) return row.status();
    auto next = DecodePartition(row->value);
    if (!next || !ServesRow(id, *next)) continue;
    const auto it = std::find_if(
        next->sources.begin(), next->sources.end(),
        [&](const PartitionSource& s) { return s.incarnation == source; });
    if (it == next->sources.end()) continue;
    std::vector<journal::RecordT> part = RecordsToCopy(**log, id, it->since);
    std::move(part.begin(), part.end(), std::back_inserter(records));
    next->sources.erase(it);
    if (next->sources.size() == 1) copied.push_back(id);
    transaction.conditions.push_back({row->key, row->version});
    transaction.writes.push_back({row->key, EncodePartition(*next)});
  }
  if (transaction.writes.empty()) return absl::OkStatus();
  absl::Status status = keeper->AddSegment(records);
  if (!status.ok()) return status;
  status = CommitAndConfirm(table, transaction, transaction.writes.front().key);
  if (!status.ok()) return status;
  std::lock_guard<std::mutex> lock(mu);
  for (const PartitionId it : copied) {
    partitions[it.n].has_foreign_sources = false;
  }
  return absl::OkStatus();
}

/// Returns the records of a partition that are still needed, with the epoch
/// under which this process owns it.
std::vector<journal::RecordT> ProgramTable::Impl::RecordsToCopy(
    const IndexedLog& log, PartitionId id, Epoch since) {
  std::lock_guard<std::mutex> lock(mu);
  const OwnedPartition& partition = partitions[id.n];
  std::vector<journal::RecordT> records;
  for (const journal::Record* it : log.by_partition[id.n]) {
    if (it->epoch() < since.n) continue;
    const RecordRef ref = RefOf(*it);
    const uint64_t end = partition.EndSequence(ref.key);
    const bool last_end = ref.is_end && ref.sequence == end;
    if (ref.sequence <= end && !last_end) continue;
    records.emplace_back();
    it->UnPackTo(&records.back());
    records.back().epoch = partition.epoch.n;
  }
  return records;
}

void ProgramTable::Impl::EndIdlePrograms() {
  std::vector<ProgramKey> idle;
  {
    std::lock_guard<std::mutex> lock(mu);
    for (const OwnedPartition& partition : partitions) {
      if (!partition.serving) continue;
      for (const auto& [key, program] : partition.programs) {
        const Ms age = clock.Now() - program->last_call;
        if (age >= IdleLimitOf(key, options)) idle.push_back(key);
      }
    }
  }
  for (const ProgramKey& it : idle) {
    // AppendEnd fails if a call of the program has started meanwhile.
    if (AppendEnd(it).ok()) {
      kLog.Debug("Ended an idle program.", {{"program", it.program.value}});
    }
  }
}

/// Drops the tombstones of programs that have no older records left in any log.
void ProgramTable::Impl::PruneTombstones() {
  std::lock_guard<std::mutex> lock(mu);
  for (OwnedPartition& partition : partitions) {
    if (partition.has_foreign_sources) continue;
    std::erase_if(partition.tombstones, [&](const auto& it) {
      const auto& [key, end] = it;
      const bool moved = end.position <= moved_position;
      return moved && !keeper->HasRecordsBefore(key, end.sequence);
    });
  }
}

/// Clears `min_epoch` of partitions that were handed over and whose records the
/// next owner has copied: their rows no longer list this log.
absl::Status ProgramTable::Impl::PruneMinEpochs() {
  bool has_released_partitions = false;
  std::string self;
  {
    std::lock_guard<std::mutex> lock(mu);
    self = incarnation;
    for (const OwnedPartition& it : partitions) {
      has_released_partitions =
          has_released_partitions || (it.min_epoch && it.epoch == Epoch{});
    }
  }
  if (!has_released_partitions) return absl::OkStatus();
  const absl::StatusOr<std::vector<Row>> rows = table.scan(kPartitionPrefix);
  if (!rows.ok()) return rows.status();
  std::lock_guard<std::mutex> lock(mu);
  for (const Row& it : *rows) {
    const auto id = PartitionOfKey(it.key);
    const auto row = DecodePartition(it.value);
    if (!id || !row || id->n >= partitions.size()) continue;
    OwnedPartition& partition = partitions[id->n];
    if (partition.epoch != Epoch{} || row->incarnation == self) continue;
    const bool referenced = std::any_of(
        row->sources.begin(), row->sources.end(),
        [&](const PartitionSource& s) { return s.incarnation == self; });
    if (!referenced) partition.min_epoch.reset();
  }
  return absl::OkStatus();
}

/// Deletes, at least in part, one log whose fence is closed and that no
/// partition row refers to.
absl::Status ProgramTable::Impl::DeleteUnreferencedLog() {
  const absl::StatusOr<std::vector<Row>> fences = table.scan(kFencePrefix);
  if (!fences.ok()) return fences.status();
  // The rows must be read after the fences: no row can start to refer to a log
  // once its fence is closed.
  const absl::StatusOr<std::vector<Row>> rows = table.scan(kPartitionPrefix);
  if (!rows.ok()) return rows.status();
  std::set<std::string> referenced;
  for (const Row& it : *rows) {
    const auto row = DecodePartition(it.value);
    // A row that can't be decoded might refer to any log.
    if (!row) return absl::DataLossError("a partition row is damaged");
    referenced.insert(row->incarnation);
    for (const PartitionSource& s : row->sources)
      referenced.insert(s.incarnation);
  }
  for (const Row& it : *fences) {
    const std::string name = it.key.substr(kFencePrefix.size());
    if (it.version == kOpenFenceVersion || referenced.contains(name)) continue;
    const absl::StatusOr<bool> done = RemoveLog(table, objects, name);
    if (!done.ok()) return done.status();
    if (*done)
      kLog.Info("Deleted an unreferenced log.", {{"incarnation", name}});
    return absl::OkStatus();
  }
  return absl::OkStatus();
}

void ProgramTable::Impl::Run() {
  std::unique_lock<std::mutex> lock(thread_mu);
  while (!stop) {
    wake.wait_for(lock,
                  std::chrono::milliseconds(options.maintenance_interval.count),
                  [&] { return stop; });
    if (stop) return;
    lock.unlock();
    absl::Status status = Maintain();
    if (!status.ok()) {
      kLog.Warning("Log maintenance failed.", {{"error", status.ToString()}});
    }
    lock.lock();
  }
}

void ProgramTable::Impl::StopThread() {
  {
    std::lock_guard<std::mutex> lock(thread_mu);
    stop = true;
  }
  wake.notify_all();
  if (thread.joinable()) thread.join();
}

}  // namespace knapweed
