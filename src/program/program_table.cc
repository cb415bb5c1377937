#include "knapweed/program/program_table.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "program_table_impl.h"

namespace knapweed {
namespace {

constexpr uint64_t kNoLimit = std::numeric_limits<uint64_t>::max();
/// Retry-after times of refused calls: while the store accepts no records, when
/// this entry does not own the program, and when too many calls wait.
constexpr Ms kStoreRetryAfter = Seconds(2);
constexpr Ms kNotOwnerRetryAfter{200};
constexpr Ms kOverloadRetryAfter = Seconds(1);
/// Waiters poll the deadline at this interval, since advancing a manual clock
/// in a test does not notify them.
constexpr std::chrono::milliseconds kWaitPollInterval(50);

CallError NotRun(ErrorCode code, std::string message, Ms retry_after = Ms{0}) {
  return {code, RunState::kNotRun, retry_after, std::move(message)};
}

CallError NotOwner() {
  return NotRun(ErrorCode::kNotOwner, "another entry owns this program",
                kNotOwnerRetryAfter);
}

}  // namespace

TurnHold::State::~State() {
  if (!table) return;
  std::lock_guard<std::mutex> lock(table->mu);
  table->Release(*this);
}

const std::vector<HistoryMessage>& TurnHold::history() const {
  return state_->program->history;
}

uint64_t TurnHold::turn() const {
  std::lock_guard<std::mutex> lock(state_->table->mu);
  return state_->program->turns;
}

uint64_t TurnHold::attained_tokens() const {
  std::lock_guard<std::mutex> lock(state_->table->mu);
  return state_->program->used_tokens;
}

uint64_t TurnHold::tokens_left() const {
  std::lock_guard<std::mutex> lock(state_->table->mu);
  return state_->table->TokensLeft(*state_);
}

Epoch TurnHold::epoch() const { return state_->epoch; }

const Intent* TurnHold::open_intent() const {
  return state_->open_intent ? &*state_->open_intent : nullptr;
}

ProgramTable::Impl::Impl(TableService table_in, ObjectStore objects_in,
                         const Clock& clock_in, std::string incarnation_in,
                         ProgramTableOptions options_in)
    : table(std::move(table_in)),
      objects(std::move(objects_in)),
      clock(clock_in),
      options(options_in),
      incarnation(std::move(incarnation_in)),
      partitions(options.partition_count) {}

ProgramPtr ProgramTable::Impl::FindOrCreate(OwnedPartition& partition,
                                            const ProgramKey& key) {
  ProgramPtr& program = partition.programs[key];
  if (program) return program;
  program = std::make_shared<Program>();
  program->key = key;
  program->started = clock.Now();
  program->last_call = program->started;
  program->sequence = partition.EndSequence(key);
  return program;
}

/// Drops a program that has no record in the log and that no call uses, such as
/// one whose first call was refused.
void ProgramTable::Impl::EraseIfUnrecorded(OwnedPartition& partition,
                                           const ProgramKey& key) {
  const auto it = partition.programs.find(key);
  if (it == partition.programs.end()) return;
  const ProgramPtr& program = it->second;
  const bool recorded = program->sequence != partition.EndSequence(key);
  if (recorded || program.use_count() != 1) return;
  partition.programs.erase(it);
}

BeginResult ProgramTable::Impl::Begin(const CallIdentity& identity,
                                      const ProgramBudget& budget,
                                      Ms deadline) {
  const auto ancestor_ids = AncestorsOf(identity);
  if (!ancestor_ids.ok()) {
    return NotRun(ErrorCode::kBadRequest,
                  absl::StrCat(ancestor_ids.status().message()));
  }
  const PartitionId id = PartitionOf(identity.key, options.partition_count);
  std::unique_lock<std::mutex> lock(mu);
  OwnedPartition& partition = partitions[id.n];
  if (!partition.serving) return NotOwner();
  if (journal->Progress().pending_bytes > options.max_unwritten_bytes) {
    return NotRun(ErrorCode::kStoreUnavailable,
                  "too many turns wait for the store", kStoreRetryAfter);
  }
  auto state = std::make_shared<TurnHold::State>();
  state->program = FindOrCreate(partition, identity.key);
  state->identity = identity;
  state->budget = budget;
  state->partition = id;
  state->epoch = partition.epoch;
  Program& program = *state->program;

  // A retried request whose outcome is known is answered without waiting for
  // the calls queued after it.
  const std::string& key = identity.idempotency_key;
  auto kept = program.outcomes.find(key);
  if (key.empty() || kept == program.outcomes.end()) {
    const auto refused =
        WaitForTurn(lock, partition, state->program, state->epoch, deadline);
    if (refused) {
      state->program.reset();
      EraseIfUnrecorded(partition, identity.key);
      return *refused;
    }
    kept = program.outcomes.find(key);
  }
  if (!key.empty() && kept != program.outcomes.end()) {
    return ReturnKeptOutcome(lock, kept->second, identity.digest);
  }
  for (const ProgramId& it : *ancestor_ids) {
    const ProgramKey ancestor{identity.key.workspace, it};
    state->ancestors.push_back(FindOrCreate(partition, ancestor));
  }
  std::optional<CallError> refused = CheckBudget(*state);
  const auto intent = program.intents.find(key);
  if (!key.empty() && intent != program.intents.end()) {
    if (intent->second.digest != identity.digest) {
      refused = NotRun(ErrorCode::kKeyReused,
                       "the idempotency key came with another request");
    }
    state->open_intent = intent->second.intent;
  }
  if (refused) {
    state->ancestors.clear();
    state->program.reset();
    for (const ProgramId& it : *ancestor_ids) {
      EraseIfUnrecorded(partition, {identity.key.workspace, it});
    }
    EraseIfUnrecorded(partition, identity.key);
    return *refused;
  }
  program.call_running = true;
  program.last_call = clock.Now();
  ++partition.in_flight;
  state->table = shared_from_this();
  return TurnHold(std::move(state));
}

/// Blocks until no call of the program is running and this call is the first in
/// the queue. Returns the reason when the call is refused instead.
std::optional<CallError> ProgramTable::Impl::WaitForTurn(
    std::unique_lock<std::mutex>& lock, OwnedPartition& partition,
    const ProgramPtr& program, Epoch epoch, Ms deadline) {
  if (program->waiting_tickets.size() >= options.waiting_per_program) {
    return NotRun(ErrorCode::kOverloaded,
                  "too many calls wait for this program", kOverloadRetryAfter);
  }
  const uint64_t ticket = next_ticket++;
  program->waiting_tickets.push_back(ticket);
  std::optional<CallError> refused;
  while (program->call_running || program->waiting_tickets.front() != ticket) {
    if (!partition.serving || partition.epoch != epoch) break;
    if (clock.Now() >= deadline) {
      refused = NotRun(ErrorCode::kDeadlineExceeded,
                       "the deadline passed while earlier calls ran");
      break;
    }
    program->turn_ended.wait_for(lock, kWaitPollInterval);
  }
  std::erase(program->waiting_tickets, ticket);
  if (!partition.serving || partition.epoch != epoch) refused = NotOwner();
  if (refused) program->turn_ended.notify_all();
  return refused;
}

/// Returns a kept outcome once it is durable. Releases `lock`.
BeginResult ProgramTable::Impl::ReturnKeptOutcome(
    std::unique_lock<std::mutex>& lock, const KeptOutcome& kept,
    uint64_t digest) {
  if (kept.digest != digest) {
    return NotRun(ErrorCode::kKeyReused,
                  "the idempotency key came with another request");
  }
  CallOutcome outcome = kept.outcome;
  const JournalPosition position = kept.position;
  const std::shared_ptr<Journal> log = journal;
  lock.unlock();
  absl::Status status = log->Wait(position, RecordDeadline());
  if (status.ok()) return outcome;
  return CallError{ErrorCode::kStoreUnavailable, outcome.run, kStoreRetryAfter,
                   "the request ran; its outcome is not recorded yet"};
}

std::optional<CallError> ProgramTable::Impl::CheckBudget(
    const TurnHold::State& state) const {
  const Program& program = *state.program;
  const ProgramBudget& budget = state.budget;
  if (budget.turns != 0 && program.turns >= budget.turns) {
    return NotRun(ErrorCode::kBudgetExhausted, "the program's turns are used");
  }
  if (budget.time != Ms{0} && clock.Now() - program.started >= budget.time) {
    return NotRun(ErrorCode::kBudgetExhausted, "the program's time is used");
  }
  if (TokensLeft(state) == 0) {
    return NotRun(ErrorCode::kBudgetExhausted, "the program's tokens are used");
  }
  return std::nullopt;
}

/// Returns the least number of tokens left for the program and for each of its
/// ancestors. Reservations of other calls count as used.
uint64_t ProgramTable::Impl::TokensLeft(const TurnHold::State& state) const {
  if (state.budget.tokens == 0) return kNoLimit;
  const auto left = [&](const Program& program) {
    const uint64_t others = program.reserved_tokens - state.reserved;
    const uint64_t used = program.used_tokens + others;
    return used >= state.budget.tokens ? 0 : state.budget.tokens - used;
  };
  uint64_t n = left(*state.program);
  for (const ProgramPtr& it : state.ancestors) n = std::min(n, left(*it));
  return n;
}

void ProgramTable::Impl::SetReserved(TurnHold::State& state, uint64_t tokens) {
  const auto set = [&](Program& program) {
    program.reserved_tokens += tokens - state.reserved;
  };
  set(*state.program);
  for (const ProgramPtr& it : state.ancestors) set(*it);
  state.reserved = tokens;
}

/// Ends the call's hold and lets the program's next call run. Only the first
/// release of a hold has an effect.
void ProgramTable::Impl::Release(TurnHold::State& state) {
  if (state.released) return;
  state.released = true;
  SetReserved(state, 0);
  state.program->call_running = false;
  state.program->turn_ended.notify_all();
  OwnedPartition& partition = partitions[state.partition.n];
  if (partition.epoch != state.epoch) return;
  --partition.in_flight;
  drained.notify_all();
}

ProgramTable::ProgramTable(TableService table, ObjectStore objects,
                           const Clock& clock, std::string incarnation,
                           ProgramTableOptions options)
    : impl_(std::make_shared<Impl>(std::move(table), std::move(objects), clock,
                                   std::move(incarnation), options)) {}

ProgramTable::~ProgramTable() {
  impl_->StopThread();
  std::shared_ptr<Journal> journal;
  {
    std::lock_guard<std::mutex> lock(impl_->mu);
    journal = impl_->journal;
  }
  if (journal) journal->Stop();
}

absl::Status ProgramTable::Start() {
  absl::Status status = impl_->Open(impl_->incarnation);
  if (!status.ok()) return status;
  if (impl_->options.maintenance_interval > Ms{0}) {
    impl_->thread = std::thread([impl = impl_.get()] { impl->Run(); });
  }
  return status;
}

absl::Status ProgramTable::Restart(const std::string& incarnation) {
  return impl_->Open(incarnation);
}

BeginResult ProgramTable::Begin(const CallIdentity& identity,
                                const ProgramBudget& budget, Ms deadline) {
  return impl_->Begin(identity, budget, deadline);
}

uint64_t ProgramTable::ReserveTokens(TurnHold& hold, uint64_t want) {
  std::lock_guard<std::mutex> lock(impl_->mu);
  const uint64_t granted = std::min(want, impl_->TokensLeft(hold.state()));
  impl_->SetReserved(hold.state(), granted);
  return granted;
}

absl::Status ProgramTable::RecordIntent(TurnHold& hold, const Intent& intent) {
  return impl_->RecordIntent(hold.state(), intent);
}

absl::Status ProgramTable::Finish(TurnHold hold, const CallOutcome& outcome) {
  return impl_->Finish(hold.state(), outcome);
}

absl::Status ProgramTable::End(const ProgramKey& key) {
  return impl_->End(key);
}

absl::Status ProgramTable::AcquirePartition(PartitionId partition, Epoch epoch,
                                            const std::string& /*old_owner*/) {
  return impl_->AcquirePartition(partition, epoch);
}

absl::Status ProgramTable::ReleasePartition(PartitionId partition) {
  return impl_->ReleasePartition(partition);
}

bool ProgramTable::Busy(PartitionId partition) const {
  std::lock_guard<std::mutex> lock(impl_->mu);
  return impl_->partitions[partition.n].in_flight != 0;
}

absl::Status ProgramTable::Maintain() { return impl_->Maintain(); }

std::vector<ProgramKey> ProgramTable::LivePrograms() const {
  std::lock_guard<std::mutex> lock(impl_->mu);
  std::vector<ProgramKey> keys;
  for (const OwnedPartition& it : impl_->partitions) {
    if (!it.serving) continue;
    for (const auto& [key, program] : it.programs) keys.push_back(key);
  }
  return keys;
}

std::string ProgramTable::DumpJson() const {
  using Json = nlohmann::json;
  std::lock_guard<std::mutex> lock(impl_->mu);
  Json partitions = Json::array();
  uint64_t programs = 0;
  for (uint32_t n = 0; n < impl_->partitions.size(); ++n) {
    const OwnedPartition& it = impl_->partitions[n];
    if (it.epoch == Epoch{}) continue;
    programs += it.programs.size();
    partitions.push_back({{"partition", n},
                          {"epoch", it.epoch.n},
                          {"serving", it.serving},
                          {"in_flight", it.in_flight},
                          {"programs", it.programs.size()},
                          {"copied", !it.has_foreign_sources}});
  }
  const JournalProgress progress =
      impl_->journal ? impl_->journal->Progress() : JournalProgress{};
  const Json log = {{"last_batch", progress.last_batch},
                    {"commits", progress.commits},
                    {"records", progress.records},
                    {"bytes", progress.bytes},
                    {"unwritten_bytes", progress.pending_bytes},
                    {"fenced", impl_->journal && impl_->journal->Fenced()}};
  const Json json = {{"incarnation", impl_->incarnation},
                     {"programs", programs},
                     {"recovery_reads", impl_->recovery_reads},
                     {"partitions", partitions},
                     {"journal", log}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace knapweed
