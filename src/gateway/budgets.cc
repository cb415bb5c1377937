#include "knapweed/gateway/budgets.h"

#include <algorithm>
#include <deque>
#include <utility>
#include <vector>

#include "knapweed/base/ids.h"
#include "knapweed/base/json.h"

namespace knapweed::gateway {
namespace {

/// Number of parts (partitions) of the budget table. The store commits about
/// 200 times a second per part, one commit after another; with 256 parts two
/// programs rarely wait for each other.
constexpr uint64_t kParts = 256;
constexpr char kTable[] = "budgets";
constexpr char kPartPrefix[] = "b";
/// A program without a call for this long is dropped from memory; its row stays
/// in the store.
constexpr Ms kDropIdleAfter{60000};
constexpr Ms kWriteBackTimeout{2000};
/// Writes of different programs that are under way at once: a slow store must
/// not keep allowances unconfirmed until they count as spent.
constexpr size_t kWritesAtOnce = 8;
/// A refusal is repeated for this long without reading the row again.
constexpr Ms kRefusalCacheTtl{200};
/// An allowance in use is confirmed at this interval. One that has not been
/// confirmed for `kAllowanceTtl` belongs to a gateway that crashed, and counts
/// as spent.
constexpr Ms kConfirmInterval{3000};
constexpr Ms kAllowanceTtl{12000};
/// Extra tokens in an allowance beyond what its turns need: half of what the
/// budget holds after another `kTurnsLeftOver` turns at their limit, up to the
/// limit of `kMaxTurnsAhead` turns. The rest stays available to other gateways.
constexpr uint64_t kMaxTurnsAhead = 8;
constexpr uint64_t kTurnsLeftOver = 4;
constexpr uint64_t kAheadDivisor = 2;
/// Idle time after which an allowance is returned. One with extra tokens is
/// kept longer, so that a program that meanwhile used another gateway still
/// finds it on its return. One of a tight budget is returned soon, since
/// another gateway may need the tokens.
constexpr Ms kIdleWithHeadroom{4000};
constexpr Ms kIdleWithoutHeadroom{350};

RowKey KeyOf(const std::string& name) {
  return {kTable, kPartPrefix + std::to_string(HashBytes(name) % kParts), name};
}

std::optional<Ms> ExpiresAt(std::string_view value, Ms retention) {
  const nlohmann::json row = ParseJson(value);
  if (!row.is_object() || !row.contains("state")) return std::nullopt;
  const BudgetState state = DecodeBudget(row["state"]);
  if (state.written_at == Ms{0}) return std::nullopt;
  return state.written_at + retention;
}

}  // namespace

BudgetState DecodeBudget(const nlohmann::json& json) {
  BudgetState state;
  if (!json.is_object()) return state;
  state.spent = CountField(json, "spent");
  state.written_at = MsField(json, "written_at").value_or(Ms{0});
  const nlohmann::json* allowances = FindField(json, "allowances");
  if (allowances == nullptr || !allowances->is_object()) return state;
  for (const auto& [gateway, item] : allowances->items()) {
    const bool readable = item.is_array() && item.size() == 2 &&
                          item[0].is_number_unsigned() &&
                          MsOf(item[1]).has_value();
    if (!readable) continue;
    state.allowances[gateway] = {CountOf(item[0]), *MsOf(item[1])};
  }
  return state;
}

nlohmann::json EncodeBudget(const BudgetState& state) {
  nlohmann::json allowances = nlohmann::json::object();
  for (const auto& [gateway, allowance] : state.allowances) {
    allowances[gateway] = {allowance.tokens, allowance.at.count};
  }
  return {{"spent", state.spent},
          {"allowances", std::move(allowances)},
          {"written_at", state.written_at.count}};
}

SweptTable BudgetTable() { return {kTable, kPartPrefix, kParts, ExpiresAt}; }

ClaimVerdict ApplyClaim(const BudgetClaim& claim, BudgetState& state) {
  BudgetState next = state;
  next.spent += claim.spent;
  next.allowances.erase(claim.gateway);
  uint64_t held_elsewhere = 0;
  for (auto it = next.allowances.begin(); it != next.allowances.end();) {
    if (claim.now - it->second.at > kAllowanceTtl) {
      next.spent += it->second.tokens;
      it = next.allowances.erase(it);
    } else {
      held_elsewhere += it->second.tokens;
      ++it;
    }
  }
  const uint64_t needed = next.spent + claim.running + claim.max_tokens;
  if (claim.max_tokens > 0 && needed + held_elsewhere > claim.budget) {
    return needed > claim.budget || held_elsewhere == 0
               ? ClaimVerdict::kExhausted
               : ClaimVerdict::kHeldElsewhere;
  }
  uint64_t tokens = claim.running + claim.max_tokens;
  const uint64_t used = needed + held_elsewhere;
  const uint64_t kept = used + kTurnsLeftOver * claim.max_tokens;
  if (claim.max_tokens > 0 && kept < claim.budget) {
    tokens += std::min((claim.budget - kept) / kAheadDivisor,
                       kMaxTurnsAhead * claim.max_tokens);
  }
  if (tokens > 0) next.allowances[claim.gateway] = {tokens, claim.now};
  next.written_at = claim.now;
  state = std::move(next);
  return ClaimVerdict::kGranted;
}

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

Task<Reservation> Budgets::Claim(std::string name, ProgramPtr program,
                                 uint64_t budget, uint64_t max_tokens,
                                 Ms deadline) {
  BudgetClaim claim;
  claim.gateway = gateway_;
  claim.budget = budget;
  claim.spent = program->spent;
  claim.running = program->running;
  claim.max_tokens = max_tokens;
  ClaimVerdict verdict = ClaimVerdict::kGranted;
  uint64_t allowance = 0;
  const RowChange change = [&](nlohmann::json& json) {
    BudgetState state = DecodeBudget(json);
    program->total_spent = state.spent;
    claim.now = store_.StoreNow();
    verdict = ApplyClaim(claim, state);
    if (verdict != ClaimVerdict::kGranted) return false;
    allowance = state.allowances[gateway_].tokens;
    program->total_spent = state.spent;
    json = EncodeBudget(state);
    return true;
  };
  const RowKey key = KeyOf(name);
  const UpdateOutcome outcome = co_await rows_.Update(
      key, program->row, change, deadline, kRefusalCacheTtl);
  if (outcome == UpdateOutcome::kChanged) {
    program->spent -= claim.spent;
    program->row_is_unsure = false;
    program->allowance = allowance;
    program->has_headroom = allowance > program->running + max_tokens;
    program->allowed_at = clock_.Now();
    co_return Reservation::kReserved;
  }
  if (outcome == UpdateOutcome::kDeclined) {
    co_return verdict == ClaimVerdict::kExhausted ? Reservation::kExhausted
                                                  : Reservation::kHeldElsewhere;
  }
  // After an unknown outcome the row may hold a larger allowance than
  // `program->allowance`; the next write corrects it.
  co_return Reservation::kUnavailable;
}

Task<ReserveResult> Budgets::ReserveHere(std::string name, uint64_t budget,
                                         uint64_t tokens, Ms deadline) {
  const ProgramPtr program = Find(name);
  const bool locked = co_await Lock(program, deadline);
  if (!locked) co_return ReserveResult{};
  Task<ReserveResult> step =
      ReserveLocked(std::move(name), program, budget, tokens, deadline);
  co_return co_await ThenUnlock(program, std::move(step));
}

Task<ReserveResult> Budgets::ReserveLocked(std::string name, ProgramPtr program,
                                           uint64_t budget, uint64_t tokens,
                                           Ms deadline) {
  ReserveResult result;
  result.reservation = Reservation::kReserved;
  const bool lapsed =
      clock_.Now() - program->allowed_at > kAllowanceTtl - kConfirmInterval;
  if (lapsed ||
      program->spent + program->running + tokens > program->allowance) {
    result.reservation =
        co_await Claim(name, program, budget, tokens, deadline);
  }
  result.begins_program =
      program->total_spent + program->spent + program->running == 0;
  if (program->first_asked_at == Ms{0}) {
    program->first_asked_at = clock_.Now();
  }
  result.waited = clock_.Now() - program->first_asked_at;
  if (result.reservation == Reservation::kReserved) program->running += tokens;
  co_return result;
}

void Budgets::SettleHere(const std::string& name, uint64_t max_tokens,
                         uint64_t spent) {
  const ProgramPtr program = Find(name);
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
  BudgetClaim claim;
  claim.gateway = gateway_;
  claim.spent = program->spent;
  claim.running = program->running;
  if (!release) {
    claim.running = std::max(
        claim.running,
        program->allowance - std::min(program->spent, program->allowance));
  }
  const RowChange change = [&](nlohmann::json& json) {
    BudgetState state = DecodeBudget(json);
    claim.now = store_.StoreNow();
    ApplyClaim(claim, state);
    program->total_spent = state.spent;
    json = EncodeBudget(state);
    return true;
  };
  const RowKey key = KeyOf(name);
  const Ms deadline = clock_.Now() + kWriteBackTimeout;
  const UpdateOutcome outcome =
      co_await rows_.Update(key, program->row, change, deadline);
  if (outcome == UpdateOutcome::kChanged) {
    program->spent -= claim.spent;
    program->allowance = claim.running;
    program->allowed_at = clock_.Now();
  } else {
    // The row may have given back what is beyond this.
    program->allowance = std::min(program->allowance, claim.running);
  }
  program->row_is_unsure = outcome != UpdateOutcome::kChanged;
  co_return outcome == UpdateOutcome::kChanged;
}

bool Budgets::HoldsMoreThanNeeded(const Program& program) {
  return program.spent > 0 || program.allowance > program.running ||
         program.row_is_unsure;
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
        program->allowance + program->spent > 0 || program->row_is_unsure;
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
    return !program.locked && !program.row_is_unsure && program.running == 0 &&
           program.spent == 0 && program.allowance == 0 &&
           program.used_at < before;
  });
}

}  // namespace knapweed::gateway
