#include "knapweed/journal/journal.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <random>
#include <thread>
#include <utility>

#include "knapweed/base/ids.h"
#include "knapweed/base/log.h"
#include "knapweed/journal/log_rows.h"
#include "knapweed/membership/rows.h"

namespace knapweed {
namespace {

constexpr Logger kLog("journal");
/// Estimated size of a record without its strings.
constexpr size_t kRecordOverheadBytes = 128;
/// Up to kIdleRecordsPerSecond each record is committed at once. Above it the
/// interval between commits grows linearly with the rate, and reaches its full
/// length at kBusyRecordsPerSecond.
constexpr double kIdleRecordsPerSecond = 30;
constexpr double kBusyRecordsPerSecond = 200;
/// At kBusyRecordsPerSecond and above, commits start at least this far apart.
constexpr double kMinBusyCommitIntervalMs = 20;
/// Weight of the newest batch in the moving average of the record rate.
constexpr double kRateSmoothingWeight = 0.2;
constexpr Ms kMinRetryDelay{20};
constexpr Ms kMaxRetryDelay{500};
/// Waiters poll the deadline at this interval, since advancing a manual clock
/// in a test does not notify them.
constexpr std::chrono::milliseconds kWaitPollInterval(50);

size_t BytesOf(const journal::RecordT& record) {
  size_t n = kRecordOverheadBytes;
  n += record.workspace.size() + record.program.size();
  n += record.idempotency_key.size() + record.body.size();
  n += record.error_message.size() + record.attempt.size();
  for (const std::string& it : record.added) n += it.size();
  return n;
}

/// The records of one `Append`, which become durable together.
struct Group {
  std::vector<journal::RecordT> records;
  size_t bytes = 0;
  JournalPosition end;
};

/// The groups that go into one commit.
struct PendingBatch {
  std::vector<journal::RecordT> records;
  size_t bytes = 0;
  JournalPosition end;
};

}  // namespace

struct Journal::Impl {
  Impl(TableService table_in, ObjectStore objects_in, const Clock& clock_in,
       JournalOptions options_in)
      : table(std::move(table_in)),
        objects(std::move(objects_in)),
        clock(clock_in),
        options(std::move(options_in)),
        random(HashBytes(options.incarnation)) {}

  void Run();
  PendingBatch TakeBatch();
  absl::Status Write(const PendingBatch& batch, uint64_t number);
  absl::Status CommitRow(uint64_t number, const std::string& text);
  absl::Status Resolve(const std::string& key, const std::string& text);
  bool WaitBeforeRetry(Ms span);
  Ms CommitInterval() const;
  void UpdateRecordRate(size_t records, Ms start);

  const TableService table;
  const ObjectStore objects;
  const Clock& clock;
  const JournalOptions options;
  std::mt19937_64 random;

  mutable std::mutex mu;
  std::condition_variable wake_writer;
  std::condition_variable wake_waiters;
  std::deque<Group> queue;
  JournalPosition appended;
  JournalPosition durable;
  JournalProgress progress;
  bool fenced = false;
  bool stop = false;
  double records_per_s = 0;
  Ms last_commit_start;
  std::thread writer;
};

PendingBatch Journal::Impl::TakeBatch() {
  PendingBatch batch;
  while (!queue.empty()) {
    Group& group = queue.front();
    const bool full = batch.bytes + group.bytes > options.max_batch_bytes;
    if (!batch.records.empty() && full) break;
    std::move(group.records.begin(), group.records.end(),
              std::back_inserter(batch.records));
    batch.bytes += group.bytes;
    batch.end = group.end;
    queue.pop_front();
  }
  return batch;
}

/// Returns the minimum time between the starts of two commits: zero at a low
/// record rate; under load, long enough for a batch to collect several records.
/// When the store takes longer than this, records collect during the commit in
/// flight anyway.
Ms Journal::Impl::CommitInterval() const {
  const double span = kBusyRecordsPerSecond - kIdleRecordsPerSecond;
  const double load = (records_per_s - kIdleRecordsPerSecond) / span;
  if (load <= 0) return Ms{0};
  const double max_interval_ms =
      static_cast<double>(options.max_commit_interval.count);
  const double fill_ms = 1000.0 * options.target_batch_records / records_per_s;
  const double upper_bound_ms = std::max(fill_ms, kMinBusyCommitIntervalMs);
  const double ms =
      std::min(max_interval_ms * std::min(load, 1.0), upper_bound_ms);
  return Ms{static_cast<int64_t>(ms)};
}

void Journal::Impl::UpdateRecordRate(size_t records, Ms start) {
  const double span_s = std::max((start - last_commit_start).Seconds(), 0.001);
  last_commit_start = start;
  const double rate = static_cast<double>(records) / span_s;
  records_per_s += kRateSmoothingWeight * (rate - records_per_s);
}

void Journal::Impl::Run() {
  std::unique_lock<std::mutex> lock(mu);
  while (true) {
    wake_writer.wait(lock, [&] { return stop || !queue.empty(); });
    if (stop) return;
    const Ms wait = last_commit_start + CommitInterval() - clock.Now();
    if (wait > Ms{0}) {
      wake_writer.wait_for(lock, std::chrono::milliseconds(wait.count),
                           [&] { return stop; });
      if (stop) return;
    }
    const PendingBatch batch = TakeBatch();
    const uint64_t number = progress.last_batch + 1;
    lock.unlock();
    const Ms start = clock.Now();
    absl::Status status = Write(batch, number);
    lock.lock();
    if (absl::IsCancelled(status)) return;
    if (!status.ok()) {
      fenced = true;
      queue.clear();
      progress.pending_bytes = 0;
      wake_waiters.notify_all();
      return;
    }
    durable = batch.end;
    progress.last_batch = number;
    progress.commits += 1;
    progress.records += batch.records.size();
    progress.bytes += batch.bytes;
    progress.pending_bytes -= batch.bytes;
    UpdateRecordRate(batch.records.size(), start);
    wake_waiters.notify_all();
  }
}

/// Writes a batch, retrying until it is durable. FailedPrecondition when the
/// fence was closed first or another writer used the log; Cancelled when the
/// writer was stopped.
absl::Status Journal::Impl::Write(const PendingBatch& batch, uint64_t number) {
  const std::string bytes =
      PackBatch(options.incarnation, number, batch.records);
  std::string text;
  if (bytes.size() <= options.max_row_bytes) {
    text = InlineRowText(bytes);
  } else {
    const std::string name = BatchObjectName(options.incarnation, number);
    Ms retry = kMinRetryDelay;
    while (!objects.put(name, bytes).ok()) {
      if (!WaitBeforeRetry(retry)) return absl::CancelledError();
      retry = std::min(retry * 2, kMaxRetryDelay);
    }
    text = ObjectRowText(name, bytes);
  }
  Ms retry = kMinRetryDelay;
  while (true) {
    absl::Status status = CommitRow(number, text);
    if (status.ok() || absl::IsFailedPrecondition(status)) return status;
    if (!WaitBeforeRetry(retry)) return absl::CancelledError();
    retry = std::min(retry * 2, kMaxRetryDelay);
  }
}

absl::Status Journal::Impl::CommitRow(uint64_t number,
                                      const std::string& text) {
  const std::string key = BatchKey(options.incarnation, number);
  Transaction transaction;
  transaction.conditions.push_back(
      {FenceKey(options.incarnation), kOpenFenceVersion});
  transaction.conditions.push_back({key, 0});
  transaction.writes.push_back({key, text});
  absl::Status status = table.commit(transaction);
  if (status.ok()) return status;
  if (absl::IsAborted(status) || IsUncertain(status)) return Resolve(key, text);
  return status;
}

/// Reads back whether a batch row is written, after a commit whose condition
/// failed or whose result is unknown: an earlier attempt whose response was
/// lost may have written the row, or the fence may be closed. Unavailable when
/// the row is not written and the commit should be retried.
absl::Status Journal::Impl::Resolve(const std::string& key,
                                    const std::string& text) {
  const absl::StatusOr<Row> fence = table.get(FenceKey(options.incarnation));
  if (!fence.ok() && !absl::IsNotFound(fence.status())) return fence.status();
  // The row must be read after the fence: once the fence is closed, no delayed
  // commit can still write the row.
  const absl::StatusOr<Row> row = table.get(key);
  if (row.ok() && row->value == text) return absl::OkStatus();
  if (row.ok()) {
    kLog.Error("Another writer has written to this log.", {{"row", key}});
    return absl::FailedPreconditionError(
        "another writer has written to this log");
  }
  if (!absl::IsNotFound(row.status())) return row.status();
  if (!fence.ok() || fence->version != kOpenFenceVersion) {
    kLog.Warning("The log is fenced; no more records can be written.",
                 {{"incarnation", options.incarnation}});
    return absl::FailedPreconditionError("the log is fenced");
  }
  return absl::UnavailableError("the batch is not written yet");
}

/// Sleeps for a random time between half of `span` and all of it. Returns false
/// when the writer should stop.
bool Journal::Impl::WaitBeforeRetry(Ms span) {
  std::unique_lock<std::mutex> lock(mu);
  std::uniform_int_distribution<int64_t> jitter(span.count / 2, span.count);
  wake_writer.wait_for(lock, std::chrono::milliseconds(jitter(random)),
                       [&] { return stop; });
  return !stop;
}

Journal::Journal(TableService table, ObjectStore objects, const Clock& clock,
                 JournalOptions options)
    : impl_(std::make_unique<Impl>(std::move(table), std::move(objects), clock,
                                   std::move(options))) {}

Journal::~Journal() { Stop(); }

void Journal::Start() {
  impl_->writer = std::thread([this] { impl_->Run(); });
}

void Journal::Stop() {
  {
    std::lock_guard<std::mutex> lock(impl_->mu);
    impl_->stop = true;
  }
  impl_->wake_writer.notify_all();
  impl_->wake_waiters.notify_all();
  if (impl_->writer.joinable()) impl_->writer.join();
}

absl::StatusOr<JournalPosition> Journal::Append(
    std::vector<journal::RecordT> records) {
  Group group;
  for (const journal::RecordT& it : records) group.bytes += BytesOf(it);
  group.records = std::move(records);
  std::lock_guard<std::mutex> lock(impl_->mu);
  if (impl_->fenced || impl_->stop) {
    return absl::FailedPreconditionError("the log is fenced");
  }
  const size_t pending = impl_->progress.pending_bytes + group.bytes;
  if (pending > impl_->options.max_pending_bytes) {
    return absl::ResourceExhaustedError("too many bytes wait to be written");
  }
  impl_->progress.pending_bytes = pending;
  impl_->appended.n += group.records.size();
  group.end = impl_->appended;
  impl_->queue.push_back(std::move(group));
  impl_->wake_writer.notify_all();
  return impl_->appended;
}

absl::Status Journal::Wait(JournalPosition position, Ms deadline) {
  std::unique_lock<std::mutex> lock(impl_->mu);
  while (impl_->durable < position) {
    if (impl_->fenced || impl_->stop) {
      return absl::FailedPreconditionError("the log is fenced");
    }
    if (impl_->clock.Now() >= deadline) {
      return absl::DeadlineExceededError("the records are not durable yet");
    }
    impl_->wake_waiters.wait_for(lock, kWaitPollInterval);
  }
  return absl::OkStatus();
}

bool Journal::Durable(JournalPosition position) const {
  std::lock_guard<std::mutex> lock(impl_->mu);
  return impl_->durable >= position;
}

bool Journal::Fenced() const {
  std::lock_guard<std::mutex> lock(impl_->mu);
  return impl_->fenced;
}

JournalPosition Journal::end() const {
  std::lock_guard<std::mutex> lock(impl_->mu);
  return impl_->appended;
}

JournalProgress Journal::Progress() const {
  std::lock_guard<std::mutex> lock(impl_->mu);
  return impl_->progress;
}

}  // namespace knapweed
