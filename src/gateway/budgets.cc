#include "knapweed/gateway/budgets.h"

#include <algorithm>
#include <deque>
#include <utility>
#include <vector>

#include "knapweed/base/ids.h"
#include "knapweed/base/json.h"

namespace knapweed::gateway {
namespace {

/// A program without a call for this long is dropped from memory; its row stays
/// in the store.
constexpr Ms kDropIdleAfter{60000};
constexpr Ms kWriteBackTimeout{2000};
/// Writes of different programs that are under way at once: a slow store must
/// not keep allowances unconfirmed until they count as spent.
constexpr size_t kWritesAtOnce = 8;
/// A refusal is repeated for this long without reading the row again.
constexpr Ms kRefusalCacheTtl{200};
/// An allowance in use is confirmed at this interval.
constexpr Ms kConfirmInterval{3000};
/// A lease that is older ends with the next claim, and with it the witnesses
/// that no longer run turns of the program and may go.
constexpr Ms kMaxLeaseAge{10000};
/// Rounds of a claim or a reservation, each after another gateway has changed
/// the row.
constexpr int kMaxRounds = 4;
/// Idle time after which an allowance is returned. One with extra tokens is
/// kept longer, so that a program that meanwhile used another gateway still
/// finds it on its return. One of a tight budget is returned soon, since
/// another gateway may need the tokens.
constexpr Ms kIdleWithHeadroom{4000};
constexpr Ms kIdleWithoutHeadroom{350};

}  // namespace

Budgets::ProgramPtr Budgets::Find(const std::string& name) {
  ProgramPtr& program = programs_[name];
  if (program == nullptr) program = std::make_shared<Program>(loop_);
  program->used_at = clock_.Now();
  return program;
}

Task<bool> Budgets::Lock(ProgramPtr program, Ms deadline) {
  while (program->locked) {
    const Ms left = deadline - clock_.Now();
    if (left <= Ms{0}) co_return false;
    co_await program->unlocked.Wait(left);
  }
  program->locked = true;
  co_return true;
}

void Budgets::Unlock(Program& program) {
  program.locked = false;
  program.unlocked.Notify();
}

Budgets::ClaimResult Budgets::ResultOf(ClaimVerdict verdict) {
  switch (verdict) {
    case ClaimVerdict::kGranted:
      return ClaimResult::kGranted;
    case ClaimVerdict::kExhausted:
      return ClaimResult::kExhausted;
    case ClaimVerdict::kHeldElsewhere:
      break;
  }
  return ClaimResult::kHeldElsewhere;
}

Reservation Budgets::ReservationOf(ClaimResult result) {
  switch (result) {
    case ClaimResult::kGranted:
      return Reservation::kReserved;
    case ClaimResult::kExhausted:
      return Reservation::kExhausted;
    case ClaimResult::kUnavailable:
      return Reservation::kUnavailable;
    case ClaimResult::kHeldElsewhere:
    case ClaimResult::kLost:
      break;
  }
  return Reservation::kHeldElsewhere;
}

bool Budgets::IsLost(const Program& program, const BudgetState& state) const {
  return program.allowance > 0 && !state.allowances.contains(gateway_);
}

void Budgets::LoseLease(Program& program) const {
  program.spent = 0;
  program.running = 0;
  program.allowance = 0;
  program.first_valid_lease = last_lease_ + 1;
}

BudgetLease Budgets::NewLease(const Program& program) {
  BudgetLease lease;
  lease.number = ++last_lease_;
  lease.since = store_.StoreNow();
  lease.carried = program.running;
  return lease;
}

BudgetLease Budgets::NextLease(const Program& program, const Witness& runner) {
  const BudgetLease& last = program.lease;
  const auto known = last.witnesses.find(runner.address);
  const bool has_restarted =
      known != last.witnesses.end() && known->second != runner.process;
  const bool goes_on = program.allowance > 0 && !has_restarted &&
                       store_.StoreNow() - last.since <= kMaxLeaseAge;
  return goes_on ? last : NewLease(program);
}

Task<Budgets::ClaimResult> Budgets::ClaimOnce(
    TurnToReserve turn, ProgramPtr program, const BudgetClaim& base,
    std::map<std::string, BudgetLease>* to_ask) {
  BudgetClaim claim = base;
  ClaimResult result = ClaimResult::kGranted;
  RowWrite write;
  const RowChange change = [&](nlohmann::json& json) {
    BudgetState state = DecodeBudget(json);
    if (IsLost(*program, state)) {
      LoseLease(*program);
      result = ClaimResult::kLost;
      // The claim is on a lease that has ended, whatever was in its way.
      to_ask->clear();
    }
    if (result == ClaimResult::kLost) return false;
    claim.spent = program->spent;
    claim.running = program->running;
    claim.now = store_.StoreNow();
    program->total_spent = state.spent;
    to_ask->clear();
    for (const std::string& holder : HoldersToAskFor(claim, state)) {
      to_ask->emplace(holder, *state.allowances[holder].lease);
    }
    if (!to_ask->empty()) return false;
    write = RowWrite();
    write.spent = claim.spent;
    write.prepared_at = clock_.Now();
    write.taken_over = TakenOverIn(claim, state);
    const ClaimVerdict verdict = ApplyClaim(claim, state);
    result = ResultOf(verdict);
    if (verdict != ClaimVerdict::kGranted) return false;
    write.allowance = state.allowances[gateway_];
    program->total_spent = state.spent;
    json = EncodeBudget(state);
    return true;
  };
  const RowKey key = BudgetKeyOf(turn.program);
  const UpdateOutcome outcome = co_await rows_.Update(
      key, program->row, change, turn.deadline, kRefusalCacheTtl);
  if (outcome == UpdateOutcome::kDeclined) co_return result;
  if (outcome == UpdateOutcome::kUnknown) {
    KeepUnknown(turn.program, *program, std::move(write));
    co_return ClaimResult::kUnavailable;
  }
  if (outcome != UpdateOutcome::kChanged) co_return ClaimResult::kUnavailable;
  Adopt(turn.program, *program, write);
  program->has_headroom =
      program->allowance > program->running + turn.max_tokens;
  co_return ClaimResult::kGranted;
}

Task<Budgets::ClaimResult> Budgets::Claim(TurnToReserve turn,
                                          ProgramPtr program,
                                          BudgetLease lease) {
  if (program->unknown.has_value()) {
    const bool resolved = co_await Resolve(turn.program, program);
    if (!resolved) co_return ClaimResult::kUnavailable;
    lease = Rebase(*program, std::move(lease));
  }
  BudgetClaim claim;
  claim.gateway = gateway_;
  claim.budget = turn.budget;
  claim.max_tokens = turn.max_tokens;
  claim.lease = std::move(lease);
  for (int round = 0; round < kMaxRounds; ++round) {
    std::map<std::string, BudgetLease> to_ask;
    const ClaimResult result =
        co_await ClaimOnce(turn, program, claim, &to_ask);
    if (to_ask.empty()) co_return result;
    for (const auto& [holder, held] : to_ask) {
      std::optional<TakenOverLease> taken =
          co_await TakeOver(turn.program, holder, held);
      if (taken.has_value()) {
        claim.taken_over.push_back(*std::move(taken));
      } else {
        claim.unanswered.push_back(holder);
      }
    }
  }
  co_return ClaimResult::kHeldElsewhere;
}

Task<ReserveResult> Budgets::ReserveHere(TurnToReserve turn) {
  const ProgramPtr program = Find(turn.program);
  const bool locked = co_await Lock(program, turn.deadline);
  if (!locked) co_return ReserveResult{};
  Task<ReserveResult> step = ReserveLocked(std::move(turn), program);
  co_return co_await ThenUnlock(program, std::move(step));
}

bool Budgets::MayBegin(const Program& program, const BudgetLease& lease,
                       const TurnToReserve& turn) const {
  const bool lapsed =
      clock_.Now() - program.allowed_at > kAllowanceTtl - kConfirmInterval;
  const uint64_t used = program.spent + program.running + turn.max_tokens;
  const bool fits =
      used <= program.allowance && lease.number == program.lease.number;
  if (lapsed || !fits) return false;
  if (!program.unknown.has_value()) return true;
  const RowWrite& write = *program.unknown;
  const uint64_t used_after =
      used - write.spent + write.RunningTokens() + write.settled;
  return used_after <= write.allowance.tokens &&
         write.allowance.lease.has_value() &&
         write.allowance.lease->number == lease.number;
}

Task<Budgets::ClaimResult> Budgets::ReserveByListed(TurnToReserve turn,
                                                    ProgramPtr program,
                                                    ReserveResult* result) {
  BudgetLease listed = program->lease;
  const Witness other = co_await TellTurn(turn, *program, &listed);
  result->told = other.address;
  result->lease.number = listed.number;
  const bool fits = MayBegin(*program, listed, turn) &&
                    program->lease.Lists(other.address, other.process);
  co_return fits ? ClaimResult::kGranted : ClaimResult::kUnavailable;
}

Task<Budgets::ClaimResult> Budgets::ReserveOnce(TurnToReserve turn,
                                                ProgramPtr program,
                                                ReserveResult* result) {
  const bool is_unknown = program->unknown.has_value();
  if (is_unknown && !MayBegin(*program, program->lease, turn)) {
    const bool resolved = co_await Resolve(turn.program, program);
    if (!resolved) co_return ClaimResult::kUnavailable;
  }
  BudgetLease lease = NextLease(*program, turn.runner);
  Witness witness = turn.runner;
  if (witness.empty()) {
    witness = co_await TellTurn(turn, *program, &lease);
    result->told = witness.address;
  }
  const bool is_listed = witness.empty()
                             ? lease.is_unwitnessed
                             : lease.Lists(witness.address, witness.process);
  result->lease = {turn.program, gateway_, lease.number};
  const bool may_begin = MayBegin(*program, lease, turn);
  if (may_begin && is_listed) co_return ClaimResult::kGranted;
  if (witness.empty()) {
    lease.is_unwitnessed = true;
  } else {
    lease.witnesses[witness.address] = witness.process;
  }
  ClaimResult claimed = co_await Claim(turn, program, std::move(lease));
  const bool lacks_listing = claimed == ClaimResult::kUnavailable &&
                             may_begin && result->told.port == 0;
  if (lacks_listing) {
    claimed = co_await ReserveByListed(turn, program, result);
  }
  if (claimed != ClaimResult::kGranted && result->told.port != 0) {
    Spawn(loop_, SettleTold(result->told, result->lease, turn.turn, 0));
    result->told = {};
  }
  co_return claimed;
}

Task<ReserveResult> Budgets::ReserveLocked(TurnToReserve turn,
                                           ProgramPtr program) {
  ReserveResult result;
  ClaimResult claimed = ClaimResult::kLost;
  for (int round = 0; claimed == ClaimResult::kLost && round < kMaxRounds;
       ++round) {
    claimed = co_await ReserveOnce(turn, program, &result);
  }
  result.reservation = ReservationOf(claimed);
  result.begins_program =
      program->total_spent + program->spent + program->running == 0;
  if (program->first_asked_at == Ms{0}) {
    program->first_asked_at = clock_.Now();
  }
  result.waited = clock_.Now() - program->first_asked_at;
  if (result.reservation == Reservation::kReserved) {
    program->running += turn.max_tokens;
  }
  co_return result;
}

void Budgets::SettleHere(const std::string& name, const LeaseKey& lease,
                         uint64_t max_tokens, uint64_t spent) {
  const ProgramPtr program = Find(name);
  if (lease.number < program->first_valid_lease) return;
  program->running -= std::min(max_tokens, program->running);
  program->spent += spent;
}

Task<bool> Budgets::WriteBack(std::string name, ProgramPtr program,
                              bool release) {
  program->locked = true;
  Task<bool> step = WriteLocked(std::move(name), program, release);
  co_return co_await ThenUnlock(program, std::move(step));
}

Task<bool> Budgets::WriteLocked(std::string name, ProgramPtr program,
                                bool release) {
  const bool resolved = co_await Resolve(name, program);
  if (!resolved) co_return false;
  BudgetClaim claim;
  claim.gateway = gateway_;
  claim.spent = program->spent;
  claim.running = program->running;
  claim.lease = program->lease;
  bool is_lost = false;
  RowWrite write;
  if (!release) {
    claim.running = std::max(
        claim.running,
        program->allowance - std::min(program->spent, program->allowance));
  }
  const RowChange change = [&](nlohmann::json& json) {
    BudgetState state = DecodeBudget(json);
    is_lost = is_lost || IsLost(*program, state);
    if (is_lost) return false;
    claim.now = store_.StoreNow();
    ApplyClaim(claim, state);
    write = RowWrite();
    write.spent = claim.spent;
    write.prepared_at = clock_.Now();
    const auto own = state.allowances.find(gateway_);
    if (own != state.allowances.end()) write.allowance = own->second;
    program->total_spent = state.spent;
    json = EncodeBudget(state);
    return true;
  };
  const RowKey key = BudgetKeyOf(name);
  const Ms deadline = clock_.Now() + kWriteBackTimeout;
  const UpdateOutcome outcome =
      co_await rows_.Update(key, program->row, change, deadline);
  if (is_lost) {
    LoseLease(*program);
    co_return true;
  }
  if (outcome == UpdateOutcome::kUnknown) {
    KeepUnknown(name, *program, std::move(write));
    co_return false;
  }
  if (outcome != UpdateOutcome::kChanged) co_return false;
  Adopt(name, *program, write);
  co_return true;
}

bool Budgets::HoldsMoreThanNeeded(const Program& program) {
  return program.spent > 0 || program.allowance > program.running ||
         program.unknown.has_value();
}

bool Budgets::IsIdle(const Program& program) const {
  const Ms idle_for =
      program.has_headroom ? kIdleWithHeadroom : kIdleWithoutHeadroom;
  return program.running == 0 && clock_.Now() - program.used_at >= idle_for;
}

struct Budgets::FlushRun {
  explicit FlushRun(asio::io_context& loop) : ended(loop) {}
  std::deque<std::pair<std::string, ProgramPtr>> due;
  bool all = false;
  Ms until;
  size_t writers = 0;
  Event ended;
};

Task<void> Budgets::WriteDue(std::shared_ptr<FlushRun> run) {
  while (!run->due.empty() && clock_.Now() < run->until) {
    const auto [name, program] = std::move(run->due.front());
    run->due.pop_front();
    // What another coroutine writes now may keep more than running turns need.
    bool is_free = !program->locked;
    if (!is_free && run->all) {
      is_free = co_await Lock(program, run->until);
    }
    if (!is_free) continue;
    const bool release = run->all || hands_over_ || IsIdle(*program);
    const bool written = co_await WriteBack(name, program, release);
    if (!written && !store_.reachable()) run->due.clear();
  }
  --run->writers;
  run->ended.Notify();
}

Task<void> Budgets::Flush(bool all, Ms until) {
  ExpireRemote();
  const Ms now = clock_.Now();
  const auto run = std::make_shared<FlushRun>(loop_);
  run->all = all;
  run->until = until;
  if (all && last_flush_ != nullptr) last_flush_->due.clear();
  last_flush_ = run;
  for (const auto& [name, program] : programs_) {
    if (program->locked && !all) continue;
    const bool hands_over = hands_over_ && HoldsMoreThanNeeded(*program);
    const bool idle = all || hands_over || IsIdle(*program);
    const bool old = now - program->allowed_at >= kConfirmInterval;
    const bool is_written =
        program->allowance + program->spent > 0 || program->unknown.has_value();
    if (is_written && (idle || old)) {
      run->due.emplace_back(name, program);
    }
  }
  run->writers = std::min(kWritesAtOnce, run->due.size());
  const size_t writers = run->writers;
  for (size_t i = 0; i < writers; ++i) Spawn(loop_, WriteDue(run));
  while (run->writers > 0 && clock_.Now() < until) {
    co_await run->ended.Wait(until - clock_.Now());
  }
  DropIdle();
}

void Budgets::DropIdle() {
  const Ms before = clock_.Now() - kDropIdleAfter;
  std::erase_if(programs_, [&](const auto& item) {
    const Program& program = *item.second;
    return !program.locked && !program.unknown.has_value() &&
           program.running == 0 && program.spent == 0 &&
           program.allowance == 0 && program.used_at < before;
  });
}

}  // namespace knapweed::gateway
