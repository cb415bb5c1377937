#include <algorithm>

#include "knapweed/base/log.h"
#include "program_table_impl.h"

namespace knapweed {
namespace {

constexpr Logger kLog("program");
/// Waiters poll the deadline at this interval, since advancing a manual clock
/// in a test does not notify them.
constexpr std::chrono::milliseconds kWaitPollInterval(20);

/// Sorts a partition's records by program and sequence, and removes duplicates,
/// which are records that two logs hold.
void SortUniqueRecords(std::vector<const journal::Record*>& records) {
  const auto before = [](const journal::Record* a, const journal::Record* b) {
    const RecordRef ra = RefOf(*a);
    const RecordRef rb = RefOf(*b);
    return std::tie(ra.key, ra.sequence) < std::tie(rb.key, rb.sequence);
  };
  const auto same = [](const journal::Record* a, const journal::Record* b) {
    const RecordRef ra = RefOf(*a);
    const RecordRef rb = RefOf(*b);
    return ra.key == rb.key && ra.sequence == rb.sequence;
  };
  std::sort(records.begin(), records.end(), before);
  records.erase(std::unique(records.begin(), records.end(), same),
                records.end());
}

}  // namespace

/// Drops all state and opens an empty log for the incarnation `name`.
absl::Status ProgramTable::Impl::Open(const std::string& name) {
  JournalOptions journal_options;
  journal_options.incarnation = name;
  journal_options.max_pending_bytes = options.max_unwritten_bytes * 2;
  auto next = std::make_shared<Journal>(table, objects, clock, journal_options);
  next->Start();
  std::lock_guard<std::mutex> maintenance_lock(maintenance_mu);
  keeper = std::make_unique<LogKeeper>(table, objects, name);
  moved_batches = 0;
  moved_bytes = 0;
  moved_position = JournalPosition{};
  cached_log.reset();
  cached_source.clear();
  std::shared_ptr<Journal> old;
  {
    std::lock_guard<std::mutex> lock(mu);
    old = std::exchange(journal, std::move(next));
    incarnation = name;
    for (OwnedPartition& it : partitions) it = OwnedPartition{};
  }
  if (old) old->Stop();
  return absl::OkStatus();
}

/// Whether the fence row of an incarnation is closed or deleted. False when the
/// row can't be read.
bool ProgramTable::Impl::FencedInStore(const std::string& name) const {
  const absl::StatusOr<Row> row = table.get(FenceKey(name));
  if (absl::IsNotFound(row.status())) return true;
  return row.ok() && row->version != kOpenFenceVersion;
}

/// Reads a log and groups its records by partition. A log whose fence is closed
/// does not change any more, so it is cached for recovering further partitions
/// from it.
absl::StatusOr<std::shared_ptr<const IndexedLog>>
ProgramTable::Impl::ReadSource(const std::string& source) {
  if (cached_log && cached_source == source) return cached_log;
  const bool closed = FencedInStore(source);
  absl::StatusOr<LogContents> contents = ReadLog(table, objects, source);
  if (!contents.ok()) return contents.status();
  auto log = std::make_shared<IndexedLog>();
  log->contents = std::move(*contents);
  log->by_partition.resize(options.partition_count);
  recovery_reads += log->contents.reads + 1;
  for (const std::string& bytes : log->contents.batches) {
    const auto* records = UnpackBatch(bytes)->records();
    if (records == nullptr) continue;
    for (const journal::Record* it : *records) {
      const PartitionId id =
          PartitionOf(RefOf(*it).key, options.partition_count);
      log->by_partition[id.n].push_back(it);
    }
  }
  if (closed) {
    cached_source = source;
    cached_log = log;
    cached_at = clock.Now();
  }
  return std::shared_ptr<const IndexedLog>(std::move(log));
}

/// Rebuilds a partition's programs from its sorted records.
void ProgramTable::Impl::Replay(
    const std::vector<const journal::Record*>& records, JournalPosition log_end,
    OwnedPartition& partition) const {
  const Ms now = clock.Now();
  for (const journal::Record* it : records) {
    const RecordRef ref = RefOf(*it);
    if (ref.is_end) {
      partition.programs.erase(ref.key);
      partition.tombstones[ref.key] = {ref.sequence, log_end};
      continue;
    }
    ProgramPtr& program = partition.programs[ref.key];
    if (!program) {
      program = std::make_shared<Program>();
      program->key = ref.key;
    }
    ApplyRecord(*program, *it, now, options.outcomes_per_program);
  }
}

absl::Status ProgramTable::Impl::AcquirePartition(PartitionId id, Epoch epoch) {
  std::lock_guard<std::mutex> maintenance_lock(maintenance_mu);
  std::string self;
  JournalPosition log_end;
  {
    std::lock_guard<std::mutex> lock(mu);
    OwnedPartition& partition = partitions[id.n];
    if (partition.epoch == epoch) {
      // ReleasePartition timed out, so the partition was never handed over.
      partition.serving = true;
      return absl::OkStatus();
    }
    self = incarnation;
    log_end = journal->end();
  }
  const bool log_is_empty =
      log_end == JournalPosition{} && keeper->checkpoint().segments.empty();
  const absl::StatusOr<Row> row = table.get(PartitionKey(id));
  if (!row.ok()) return row.status();
  const auto owned = DecodePartition(row->value);
  if (!owned || owned->incarnation != self || owned->epoch != epoch) {
    return absl::FailedPreconditionError("the partition has another owner");
  }
  OwnedPartition next;
  next.epoch = epoch;
  next.serving = true;
  std::vector<const journal::Record*> records;
  std::vector<std::shared_ptr<const IndexedLog>> logs;
  for (const PartitionSource& it : owned->sources) {
    const bool own = it.incarnation == self;
    if (own) next.min_epoch = it.since;
    if (!own) next.has_foreign_sources = true;
    if (own && log_is_empty) continue;
    const auto log = ReadSource(it.incarnation);
    if (!log.ok()) return log.status();
    for (const journal::Record* record : (*log)->by_partition[id.n]) {
      if (record->epoch() >= it.since.n) records.push_back(record);
    }
    logs.push_back(*log);
  }
  SortUniqueRecords(records);
  Replay(records, log_end, next);
  kLog.Info("Recovered a partition.", {{"partition", id.n},
                                       {"epoch", epoch.n},
                                       {"programs", next.programs.size()},
                                       {"records", records.size()}});
  std::lock_guard<std::mutex> lock(mu);
  if (incarnation != self) {
    return absl::FailedPreconditionError(
        "this process rejoined as a new incarnation");
  }
  partitions[id.n] = std::move(next);
  return absl::OkStatus();
}

absl::Status ProgramTable::Impl::ReleasePartition(PartitionId id) {
  std::unique_lock<std::mutex> lock(mu);
  OwnedPartition& partition = partitions[id.n];
  const Epoch epoch = partition.epoch;
  if (epoch == Epoch{}) return absl::OkStatus();
  partition.serving = false;
  for (auto& [key, program] : partition.programs) {
    program->turn_ended.notify_all();
  }
  const std::string self = incarnation;
  const std::shared_ptr<Journal> log = journal;
  const Ms deadline = clock.Now() + options.drain_timeout;
  lock.unlock();
  const bool fenced = FencedInStore(self);
  lock.lock();
  while (!fenced && partition.epoch == epoch && partition.in_flight != 0) {
    if (clock.Now() >= deadline) {
      return absl::DeadlineExceededError("calls are still in flight");
    }
    drained.wait_for(lock, kWaitPollInterval);
  }
  lock.unlock();
  absl::Status written = absl::OkStatus();
  if (!fenced) written = log->Wait(log->end(), deadline);
  lock.lock();
  if (absl::IsDeadlineExceeded(written)) return written;
  if (partition.epoch != epoch) return absl::OkStatus();
  // The records stay in this log until the next owner has copied them.
  const std::optional<Epoch> min_epoch = partition.min_epoch;
  partition = OwnedPartition{};
  partition.min_epoch = min_epoch;
  drained.notify_all();
  return absl::OkStatus();
}

}  // namespace knapweed
