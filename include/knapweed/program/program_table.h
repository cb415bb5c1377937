#ifndef KNAPWEED_PROGRAM_PROGRAM_TABLE_H_
#define KNAPWEED_PROGRAM_PROGRAM_TABLE_H_

#include <cstdint>
#include <memory>
#include <string>
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

/// The programs that this process owns: their order, history, budget and
/// outcomes. Everything that must last goes through the journal before it is
/// acknowledged. Safe from any thread.
class ProgramTable {
 public:
  ProgramTable(TableService table, ObjectStore objects, const Clock& clock,
               std::string incarnation);
  ~ProgramTable();

  /// Opens the journal of this incarnation.
  absl::Status Start();

  /// Waits until the program's earlier calls have ended. Returns the hold, the
  /// kept outcome of the same request, or why the call can't run: deadline,
  /// reused key, exhausted budget, not owner.
  BeginResult Begin(const CallIdentity& identity, const ProgramBudget& budget,
                    Ms deadline);
  /// Blocks until the intent is durable. After an error nothing may be
  /// dispatched.
  absl::Status RecordIntent(TurnHold& hold, const Intent& intent);
  /// Adds the outcome to the program and blocks until it is durable.
  absl::Status Finish(TurnHold hold, const CallOutcome& outcome);
  /// Ends a program: its history is dropped and its name may be used again.
  absl::Status End(const ProgramKey& key);

  /// Takes up a partition from the old owner's log; empty `old_owner` when it
  /// never had one.
  absl::Status Gain(PartitionId partition, Epoch epoch,
                    const std::string& old_owner);
  void Lose(PartitionId partition);
  /// Live programs, for renewing their pins.
  std::vector<ProgramKey> LivePrograms() const;
  std::string DumpJson() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweed

#endif  // KNAPWEED_PROGRAM_PROGRAM_TABLE_H_
