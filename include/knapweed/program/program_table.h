#ifndef KNAPWEED_PROGRAM_PROGRAM_TABLE_H_
#define KNAPWEED_PROGRAM_PROGRAM_TABLE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/status/status.h"
#include "knapweed/base/ids.h"
#include "knapweed/base/outcome.h"
#include "knapweed/platform/object_store.h"
#include "knapweed/platform/table_service.h"

namespace knapweed {

/// Limits of one program, from the rules. Zero means no limit. Tokens include
/// those of the program's sub-agents; `time` is counted from the program's
/// start.
struct ProgramBudget {
  uint64_t tokens = 0;
  uint64_t turns = 0;
  Ms time;
};

/// Identifies one call of a program. `digest` is the hash of the request; it
/// detects an idempotency key that is reused for a different request.
///
/// A sub-agent's name starts with its root program's name and a slash, as in
/// "order-7/stock". The whole tree is therefore in one partition, whose owner
/// counts its budget exactly. `parent` may be any other program of the tree;
/// when empty, the parent is the name up to the last slash.
struct CallIdentity {
  ProgramKey key;
  ProgramId parent;
  std::string idempotency_key;
  uint64_t digest = 0;
};

/// One message of a program's history, as JSON text:
/// {"role":...,"content":...}.
using HistoryMessage = std::string;

/// An attempt that is about to be dispatched. It is recorded first, so that
/// after a crash the next owner can find out from the sidecar whether it ran.
struct Intent {
  AttemptId attempt;
  UpstreamId upstream;
  std::string sidecar_incarnation;
  Address sidecar;
};

/// The result of a call. Kept under the idempotency key, so that a retried
/// request gets the same response. `added` are the messages that the call
/// appends to the program's history.
struct CallOutcome {
  RunState run = RunState::kNotRun;
  int status = 0;
  std::string body;
  CallError error;
  std::vector<HistoryMessage> added;
  uint64_t prompt_tokens = 0;
  uint64_t completion_tokens = 0;
};

/// Exclusive right to run one call of a program, returned by
/// `ProgramTable::Begin`. It ends with `ProgramTable::Finish` or with its
/// destruction, which records nothing.
class TurnHold {
 public:
  struct State;
  explicit TurnHold(std::shared_ptr<State> state) : state_(std::move(state)) {}
  /// The program's messages from its earlier calls, oldest first.
  const std::vector<HistoryMessage>& history() const;
  /// Number of turns that the program has completed.
  uint64_t turn() const;
  /// Tokens used so far by the program and its sub-agents.
  uint64_t attained_tokens() const;
  /// Tokens left for this call under the budgets of the program and of all its
  /// ancestors; UINT64_MAX when there is no limit.
  uint64_t tokens_left() const;
  /// Epoch of the partition under which the call began.
  Epoch epoch() const;
  /// An earlier intent of the same request that has no outcome, since its owner
  /// crashed in between; null when there is none.
  const Intent* open_intent() const;
  State& state() { return *state_; }

 private:
  std::shared_ptr<State> state_;
};

/// The right to run the call, the outcome of an earlier identical request, or
/// the reason for the refusal.
using BeginResult = std::variant<TurnHold, CallOutcome, CallError>;

/// Name prefix of the program created for a call without a program name and
/// without an idempotency key. No later request can refer to it, so it is ended
/// after `ProgramTableOptions::unnamed_idle_limit`.
inline constexpr std::string_view kUnnamedProgramPrefix = "~once-";

/// Configuration of a `ProgramTable`.
struct ProgramTableOptions {
  /// Must be the same in all members.
  uint32_t partition_count = 64;
  /// How long a call waits for its record to become durable.
  Ms record_timeout = Seconds(2);
  /// How long `ReleasePartition` waits for the partition's calls in flight and
  /// for the journal.
  Ms drain_timeout = Seconds(30);
  /// New calls are refused while more bytes than this wait to be written.
  /// Running calls may still record their outcome, up to twice this size.
  size_t max_unwritten_bytes = 32 << 20;
  /// Number of outcomes with an idempotency key that are kept for each program;
  /// the oldest are dropped.
  uint32_t outcomes_per_program = 32;
  /// Maximum number of calls that wait for one program.
  uint32_t waiting_per_program = 64;
  /// A program is ended after this time without a call.
  Ms idle_limit = Seconds(86400);
  /// The same for a program whose name starts with kUnnamedProgramPrefix.
  Ms unnamed_idle_limit = Seconds(120);
  /// Number of batches, or bytes, after which batch rows are moved into a
  /// segment.
  uint64_t move_after_batches = 256;
  uint64_t move_after_bytes = 4 << 20;
  /// Time between two runs of `Maintain`; zero runs no maintenance thread.
  Ms maintenance_interval = Seconds(1);
  /// Minimum time between two deletions of logs that no partition refers to.
  Ms log_deletion_interval = Seconds(600);
};

/// The programs of the partitions that this process owns: it runs the calls of
/// a program one at a time, in order of arrival, and keeps the program's
/// history, token use and outcomes. State that must survive a crash is written
/// to the journal before it is acknowledged. Each entry has one. Thread-safe.
class ProgramTable {
 public:
  ProgramTable(TableService table, ObjectStore objects, const Clock& clock,
               std::string incarnation, ProgramTableOptions options = {});
  ~ProgramTable();

  /// Opens the journal of this incarnation and starts the maintenance thread.
  absl::Status Start();
  /// Drops all partitions and programs from memory, and opens the journal of a
  /// new incarnation. Called when this process rejoins after its old
  /// incarnation was fenced.
  absl::Status Restart(const std::string& incarnation);

  /// Blocks until the program's earlier calls have ended. Returns the hold, the
  /// kept outcome of the same request, or the reason why the call can't run:
  /// invalid parent, deadline exceeded, too many waiting calls, reused
  /// idempotency key, exhausted budget, partition not owned, or too many
  /// unwritten records.
  BeginResult Begin(const CallIdentity& identity, const ProgramBudget& budget,
                    Ms deadline);
  /// Reserves up to `want` tokens of the budgets of the program and its
  /// ancestors for this call, replacing its earlier reservation. Returns the
  /// number reserved. `Finish` replaces the reservation by the tokens used.
  uint64_t ReserveTokens(TurnHold& hold, uint64_t want);
  /// Records the intent and blocks until it is durable. After an error the
  /// attempt must not be dispatched.
  absl::Status RecordIntent(TurnHold& hold, const Intent& intent);
  /// Adds the outcome to the program and blocks until it is durable. Errors:
  /// - Unavailable: the outcome was added but is not durable yet. Later calls
  ///   build on it, and it becomes durable before they do, unless this process
  ///   crashes or is fenced first.
  /// - FailedPrecondition: the partition has another owner. Nothing was or will
  ///   be recorded, unless the log's last commit took effect.
  /// - ResourceExhausted: too many records are unwritten; the outcome was not
  ///   added.
  absl::Status Finish(TurnHold hold, const CallOutcome& outcome);
  /// Ends a program: drops its history; its name may be used again. Blocks
  /// until this is durable. NotFound when there is no such program;
  /// FailedPrecondition while a call of it runs or waits, or when the partition
  /// has another owner; Unavailable when the end is recorded but not durable
  /// yet.
  absl::Status End(const ProgramKey& key);

  /// Recovers a partition's programs from the logs listed in its table row, and
  /// starts to serve it. `old_owner` is not used. The records in other owners'
  /// logs are copied later, by `Maintain`.
  absl::Status AcquirePartition(PartitionId partition, Epoch epoch,
                                const std::string& old_owner);
  /// Refuses new calls of the partition, blocks until those in flight have
  /// ended and the journal is durable, and drops its programs from memory.
  /// DeadlineExceeded when this exceeds `drain_timeout`: the partition must not
  /// be handed over, and `AcquirePartition` with the same epoch serves it
  /// again.
  absl::Status ReleasePartition(PartitionId partition);
  /// Whether calls of the partition are in flight.
  bool Busy(PartitionId partition) const;
  /// One round of the maintenance thread: ends idle programs, copies the
  /// records of acquired partitions from other logs, compacts the log, and
  /// deletes a log that no partition refers to.
  absl::Status Maintain();
  /// Programs in the partitions served, whose pins must be renewed.
  std::vector<ProgramKey> LivePrograms() const;
  /// State of the partitions and the journal, for diagnostics.
  std::string DumpJson() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
  friend struct TurnHold::State;
};

}  // namespace knapweed

#endif  // KNAPWEED_PROGRAM_PROGRAM_TABLE_H_
