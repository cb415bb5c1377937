#ifndef KNAPWEED_PROGRAM_PROGRAM_H_
#define KNAPWEED_PROGRAM_PROGRAM_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "knapweed/journal/journal.h"
#include "knapweed/program/program_table.h"

namespace knapweed {

/// An outcome that is returned to a retried request once the journal is durable
/// up to `position`.
struct KeptOutcome {
  uint64_t digest = 0;
  CallOutcome outcome;
  JournalPosition position;
};

/// A recorded intent without an outcome.
struct OpenIntent {
  uint64_t digest = 0;
  Intent intent;
};

/// In-memory state of a program, owned by its `OwnedPartition`. Guarded by the
/// table's mutex, except for `history`, which only the call that holds the
/// program's turn reads and changes.
struct Program {
  ProgramKey key;
  /// Sequence of the program's last record.
  uint64_t sequence = 0;
  std::vector<HistoryMessage> history;
  uint64_t turns = 0;
  /// Include the tokens of sub-agents.
  uint64_t used_tokens = 0;
  uint64_t reserved_tokens = 0;
  Ms started;
  Ms last_call;
  /// By idempotency key; `outcome_order` holds the keys, oldest first.
  std::map<std::string, KeptOutcome> outcomes;
  std::deque<std::string> outcome_order;
  /// By idempotency key.
  std::map<std::string, OpenIntent> intents;

  bool call_running = false;
  /// Tickets of the calls that wait for their turn, in order of arrival.
  std::deque<uint64_t> waiting_tickets;
  std::condition_variable turn_ended;
};

/// Adds an outcome to `program.outcomes`, and drops the oldest ones in excess
/// of `bound`.
void KeepOutcome(Program& program, const std::string& key, KeptOutcome kept,
                 uint32_t bound);

/// Applies one record during recovery. Records must be applied in the order of
/// their sequence. `outcome_bound` is the number of outcomes kept.
void ApplyRecord(Program& program, const journal::Record& record, Ms now,
                 uint32_t outcome_bound);

/// Build the records of a call, without epoch, sequence and elapsed time, which
/// `ProgramTable::Impl::AssignSequence` sets.
journal::RecordT MakeIntentRecord(const CallIdentity& identity,
                                  const Intent& intent);
journal::RecordT MakeTurnRecord(const CallIdentity& identity,
                                const CallOutcome& outcome);
journal::RecordT MakeChargeRecord(const ProgramKey& ancestor, uint64_t tokens);
journal::RecordT MakeEndRecord(const ProgramKey& key);

/// Whether an outcome counts as a turn of the program and extends its history.
/// An outcome with `RunState::kNotRun` does not; it only closes its intent.
bool CountsAsTurn(const CallOutcome& outcome);

/// Returns the ancestors of the call's program, nearest first; empty for a
/// root. InvalidArgument when the parent is in another tree or is the program
/// itself.
absl::StatusOr<std::vector<ProgramId>> AncestorsOf(
    const CallIdentity& identity);

}  // namespace knapweed

#endif  // KNAPWEED_PROGRAM_PROGRAM_H_
