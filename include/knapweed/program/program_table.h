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

/// Limits of one program, from the rules; a zero means no limit.
struct ProgramBudget {
  uint64_t tokens = 0;
  uint64_t turns = 0;
  Ms time;
};

/// Names one call of a program. `digest` is the hash of what the caller asked
/// for, so that an idempotency key can't come back with another request.
///
/// A sub-agent's name starts with its root program's name and a slash, as in
/// "order-7/stock": the whole tree then lies in one partition, and its budget
/// is exact. `parent` may name any other program of the tree; when empty it is
/// the name up to the last slash.
struct CallIdentity {
  ProgramKey key;
  ProgramId parent;
  std::string idempotency_key;
  uint64_t digest = 0;
};

/// One message of a program's history, as JSON text:
/// {"role":...,"content":...}.
using HistoryMessage = std::string;

/// An attempt that is about to be dispatched.
struct Intent {
  AttemptId attempt;
  UpstreamId upstream;
  std::string sidecar_incarnation;
  Address sidecar;
};

/// How a call ended; kept so that a re-sent request gets the same answer.
struct CallOutcome {
  RunState run = RunState::kNotRun;
  int status = 0;
  std::string body;
  CallError error;
  std::vector<HistoryMessage> added;
  uint64_t prompt_tokens = 0;
  uint64_t completion_tokens = 0;
};

/// The exclusive right to run one call of a program. Ends with `Finish`, or
/// with the destructor, which records nothing.
class TurnHold {
 public:
  struct State;
  explicit TurnHold(std::shared_ptr<State> state) : state_(std::move(state)) {}
  const std::vector<HistoryMessage>& history() const;
  uint64_t turn() const;
  /// Tokens that the program and its sub-agents used so far.
  uint64_t attained_tokens() const;
  /// Tokens left in the budget; the largest number when there is no limit.
  uint64_t tokens_left() const;
  Epoch epoch() const;
  /// An earlier intent of the same request without an outcome: its owner died
  /// in between.
  const Intent* open_intent() const;
  State& state() { return *state_; }

 private:
  std::shared_ptr<State> state_;
};

using BeginResult = std::variant<TurnHold, CallOutcome, CallError>;

/// Starts the name of a program that holds one call whose caller named neither
/// a program nor an idempotency key: nobody can ask for it again, so it need
/// not be kept for long.
inline constexpr std::string_view kUnnamedProgramPrefix = "~once-";

struct ProgramTableOptions {
  uint32_t partition_count = 64;
  /// How long a call waits for its record to become durable.
  Ms record_timeout = Seconds(2);
  /// How long a partition's calls in flight may take before it is given away.
  Ms drain_timeout = Seconds(30);
  /// Unwritten records over this refuse new calls; a call that runs may still
  /// record its end until twice as much waits.
  size_t max_unwritten_bytes = 32 << 20;
  /// Outcomes with an idempotency key kept for each program, newest first.
  uint32_t outcomes_per_program = 32;
  /// Calls that may wait for one program.
  uint32_t waiting_per_program = 64;
  /// A program without a call for this long ends.
  Ms idle_limit = Seconds(86400);
  /// The same for a program whose name starts with kUnnamedProgramPrefix.
  Ms unnamed_idle_limit = Seconds(120);
  /// Batches and bytes after which the log's rows move into a segment.
  uint64_t move_after_batches = 256;
  uint64_t move_after_bytes = 4 << 20;
  /// How often the log is looked after, and how often dead logs are looked for.
  Ms maintenance_interval = Seconds(1);
  Ms log_deletion_interval = Seconds(600);
};

/// The programs that this process owns: their order, history, budget and
/// outcomes. Everything that must last goes through the journal before it is
/// acknowledged. Safe from any thread.
class ProgramTable {
 public:
  ProgramTable(TableService table, ObjectStore objects, const Clock& clock,
               std::string incarnation, ProgramTableOptions options = {});
  ~ProgramTable();

  /// Opens the journal of this incarnation.
  absl::Status Start();
  /// Forgets every program and opens the journal of a new incarnation, after
  /// the old one was fenced.
  absl::Status Restart(const std::string& incarnation);

  /// Waits until the program's earlier calls have ended. Returns the hold, the
  /// kept outcome of the same request, or why the call can't run: deadline,
  /// reused key, exhausted budget, not owner, too much unwritten.
  BeginResult Begin(const CallIdentity& identity, const ProgramBudget& budget,
                    Ms deadline);
  /// Reserves up to `want` tokens of the tree's budget for this call, in place
  /// of what it reserved before, and returns how many it got. `Finish` settles.
  uint64_t ReserveTokens(TurnHold& hold, uint64_t want);
  /// Blocks until the intent is durable. After an error nothing may be
  /// dispatched.
  absl::Status RecordIntent(TurnHold& hold, const Intent& intent);
  /// Adds the outcome to the program and blocks until it is durable.
  ///
  /// Unavailable: taken in and pending; later calls build on it, and it becomes
  /// durable before they do, unless this process dies or is fenced first.
  /// FailedPrecondition: the partition has another owner; nothing was or will
  /// be recorded, unless the log's last commit did take effect.
  /// ResourceExhausted: too much is unwritten; nothing was taken in.
  absl::Status Finish(TurnHold hold, const CallOutcome& outcome);
  /// Ends a program: its history is dropped and its name may be used again.
  /// NotFound; FailedPrecondition while a call of it runs or waits.
  absl::Status End(const ProgramKey& key);

  /// Takes up a partition from the logs that its row names. `old_owner` is not
  /// needed for that. The old owner's log is copied later, by `Maintain`.
  absl::Status AcquirePartition(PartitionId partition, Epoch epoch,
                                const std::string& old_owner);
  /// Refuses new calls of the partition, waits for those in flight and for the
  /// journal, and drops its programs. DeadlineExceeded when that took too long:
  /// the partition must not be given away, and `AcquirePartition` serves it
  /// again.
  absl::Status ReleasePartition(PartitionId partition);
  /// Whether calls of the partition are in flight.
  bool Busy(PartitionId partition) const;
  /// One round of what the table's own thread does: shortens the log, copies
  /// what was taken over, ends idle programs, deletes logs that nobody needs.
  absl::Status Maintain();
  /// Live programs, for renewing their pins.
  std::vector<ProgramKey> LivePrograms() const;
  std::string DumpJson() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
  friend struct TurnHold::State;
};

}  // namespace knapweed

#endif  // KNAPWEED_PROGRAM_PROGRAM_TABLE_H_
