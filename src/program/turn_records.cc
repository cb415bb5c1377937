// The journal records of a call that holds its program: intent, outcome and the
// end of the program.
#include <algorithm>

#include "absl/strings/str_cat.h"
#include "program_table_impl.h"

namespace knapweed {

/// Whether the hold is unreleased and its partition still has the same epoch.
bool ProgramTable::Impl::StillOwned(const TurnHold::State& state) const {
  const OwnedPartition& partition = partitions[state.partition.n];
  return partition.epoch == state.epoch && !state.released;
}

/// Sets the record's sequence, epoch and elapsed time.
void ProgramTable::Impl::AssignSequence(Program& program, Epoch epoch,
                                        journal::RecordT& record) const {
  record.sequence = ++program.sequence;
  record.epoch = epoch.n;
  record.elapsed_ms = (clock.Now() - program.started).count;
}

absl::Status ProgramTable::Impl::RecordIntent(TurnHold::State& state,
                                              const Intent& intent) {
  std::unique_lock<std::mutex> lock(mu);
  if (!StillOwned(state)) {
    return absl::FailedPreconditionError("the partition has another owner");
  }
  Program& program = *state.program;
  journal::RecordT record = MakeIntentRecord(state.identity, intent);
  AssignSequence(program, state.epoch, record);
  const std::shared_ptr<Journal> log = journal;
  absl::StatusOr<JournalPosition> position = log->Append({record});
  if (!position.ok()) return position.status();
  lock.unlock();
  absl::Status status = log->Wait(*position, RecordDeadline());
  lock.lock();
  if (status.ok() && StillOwned(state)) {
    program.intents[state.identity.idempotency_key] = {state.identity.digest,
                                                       intent};
    state.intent_written = true;
    return status;
  }
  if (!StillOwned(state)) {
    return absl::FailedPreconditionError("the partition has another owner");
  }
  // The intent may still become durable, so a record that withdraws it is
  // appended after it. If that record is lost, the next owner finds out from
  // the sidecar that the attempt was never dispatched.
  CallOutcome withdrawn;
  withdrawn.run = RunState::kNotRun;
  journal::RecordT withdrawal = MakeTurnRecord(state.identity, withdrawn);
  AssignSequence(program, state.epoch, withdrawal);
  log->Append({withdrawal}).IgnoreError();
  return status;
}

absl::StatusOr<JournalPosition> ProgramTable::Impl::AppendTurn(
    TurnHold::State& state, const CallOutcome& outcome) {
  const uint64_t tokens = outcome.prompt_tokens + outcome.completion_tokens;
  std::vector<journal::RecordT> records;
  records.push_back(MakeTurnRecord(state.identity, outcome));
  AssignSequence(*state.program, state.epoch, records.back());
  for (const ProgramPtr& it : state.ancestors) {
    if (tokens == 0) break;
    records.push_back(MakeChargeRecord(it->key, tokens));
    AssignSequence(*it, state.epoch, records.back());
  }
  absl::StatusOr<JournalPosition> position =
      journal->Append(std::move(records));
  if (!position.ok()) return position;
  Program& program = *state.program;
  program.used_tokens += tokens;
  for (const ProgramPtr& it : state.ancestors) it->used_tokens += tokens;
  const std::string& key = state.identity.idempotency_key;
  program.intents.erase(key);
  if (!CountsAsTurn(outcome)) return position;
  ++program.turns;
  program.history.insert(program.history.end(), outcome.added.begin(),
                         outcome.added.end());
  if (!key.empty()) {
    KeepOutcome(program, key, {state.identity.digest, outcome, *position},
                options.outcomes_per_program);
  }
  return position;
}

absl::Status ProgramTable::Impl::Finish(TurnHold::State& state,
                                        const CallOutcome& outcome) {
  std::unique_lock<std::mutex> lock(mu);
  if (!StillOwned(state)) {
    return absl::FailedPreconditionError("the partition has another owner");
  }
  const bool had_intent = state.intent_written || state.open_intent.has_value();
  const bool nothing_to_record =
      !CountsAsTurn(outcome) && !had_intent && outcome.prompt_tokens == 0;
  if (nothing_to_record) {
    Release(state);
    return absl::OkStatus();
  }
  const std::shared_ptr<Journal> log = journal;
  absl::StatusOr<JournalPosition> position = AppendTurn(state, outcome);
  // The next call may build on the state in memory before it is durable: its
  // own record can't become durable before this one.
  Release(state);
  lock.unlock();
  if (!position.ok()) return position.status();
  absl::Status status = log->Wait(*position, RecordDeadline());
  if (absl::IsDeadlineExceeded(status)) {
    return absl::UnavailableError("the turn is not durable yet");
  }
  return status;
}

absl::StatusOr<JournalPosition> ProgramTable::Impl::AppendEnd(
    const ProgramKey& key) {
  const PartitionId id = PartitionOf(key, options.partition_count);
  std::lock_guard<std::mutex> lock(mu);
  OwnedPartition& partition = partitions[id.n];
  if (!partition.serving) {
    return absl::FailedPreconditionError("another entry owns this program");
  }
  const auto it = partition.programs.find(key);
  if (it == partition.programs.end()) {
    return absl::NotFoundError("no such program");
  }
  Program& program = *it->second;
  const bool busy = program.call_running || !program.waiting_tickets.empty() ||
                    program.reserved_tokens != 0;
  if (busy) return absl::FailedPreconditionError("the program is busy");
  journal::RecordT record = MakeEndRecord(key);
  AssignSequence(program, partition.epoch, record);
  absl::StatusOr<JournalPosition> position = journal->Append({record});
  if (!position.ok()) return position;
  partition.tombstones[key] = {record.sequence, *position};
  partition.programs.erase(it);
  return position;
}

absl::Status ProgramTable::Impl::End(const ProgramKey& key) {
  std::shared_ptr<Journal> log;
  {
    std::lock_guard<std::mutex> lock(mu);
    log = journal;
  }
  absl::StatusOr<JournalPosition> position = AppendEnd(key);
  if (!position.ok()) return position.status();
  absl::Status status = log->Wait(*position, RecordDeadline());
  if (absl::IsDeadlineExceeded(status)) {
    return absl::UnavailableError("the end is not durable yet");
  }
  return status;
}

}  // namespace knapweed
