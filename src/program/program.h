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

/// An outcome that a re-sent request gets; `position` is where it stands in the
/// log.
struct KeptOutcome {
  uint64_t digest = 0;
  CallOutcome outcome;
  JournalPosition position;
};

struct OpenIntent {
  uint64_t digest = 0;
  Intent intent;
};

/// A program in memory. Guarded by the table's mutex, but for `history`, which
/// only the holder of the program's turn changes or reads.
struct Program {
  ProgramKey key;
  uint64_t sequence = 0;
  std::vector<HistoryMessage> history;
  uint64_t turns = 0;
  uint64_t used_tokens = 0;
  uint64_t reserved_tokens = 0;
  Ms started;
  Ms last_call;
  std::map<std::string, KeptOutcome> outcomes;
  std::deque<std::string> outcome_order;
  std::map<std::string, OpenIntent> intents;

  bool call_running = false;
  std::deque<uint64_t> waiting_tickets;
  std::condition_variable turn_ended;
};

/// Puts an outcome into the program's memory, and drops the oldest over the
/// bound.
void KeepOutcome(Program& program, const std::string& key, KeptOutcome kept,
                 uint32_t bound);

/// Replays one record. Records come in the order of their sequence.
void ApplyRecord(Program& program, const journal::Record& record, Ms now,
                 uint32_t outcome_bound);

/// Records of a call, without epoch and sequence.
journal::RecordT MakeIntentRecord(const CallIdentity& identity,
                                  const Intent& intent);
journal::RecordT MakeTurnRecord(const CallIdentity& identity,
                                const CallOutcome& outcome);
journal::RecordT MakeChargeRecord(const ProgramKey& ancestor, uint64_t tokens);
journal::RecordT MakeEndRecord(const ProgramKey& key);

/// Whether an outcome adds to the program, as a finished call does; one that
/// proves that nothing ran only closes its intent.
bool CountsAsTurn(const CallOutcome& outcome);

/// The programs above a call's own, nearest first; empty for a root. An error
/// when the parent lies in another tree.
absl::StatusOr<std::vector<ProgramId>> AncestorsOf(
    const CallIdentity& identity);

}  // namespace knapweed

#endif  // KNAPWEED_PROGRAM_PROGRAM_H_
