#include "knapweed/gateway/budgets.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "knapweed/base/ids.h"
#include "knapweed/base/log.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("budget");

/// Parts of the budget table. A part commits some 200 times a second, one after
/// another; with this many two programs seldom wait for each other.
constexpr uint64_t kParts = 256;
/// A program that was silent for this long is forgotten here; its row stays.
constexpr Ms kForgetAfter{60000};
constexpr Ms kWriteBackTimeout{2000};
/// A refusal is repeated without reading the row again for this long.
constexpr Ms kRefusalFresh{200};
/// An allowance in use is confirmed this often. One that was not confirmed for
/// the longer span belongs to a gateway that died, and counts as spent.
constexpr Ms kConfirmEvery{3000};
constexpr Ms kAllowanceLapses{12000};
/// Tokens ahead of the turns that run: half of what the budget still holds
/// beyond a few turns at their most, and no more than some turns of them. Other
/// gateways find enough left.
constexpr uint64_t kTurnsAhead = 8;
constexpr uint64_t kTurnsLeft = 4;
constexpr uint64_t kAheadDivisor = 2;
/// An allowance with tokens ahead is given back after the longer idle time, so
/// that a program which comes by another gateway in between finds it again; one
/// of a tight budget soon, since another gateway may need it.
constexpr Ms kIdleAmple{4000};
constexpr Ms kIdleTight{350};

RowKey KeyOf(const std::string& name) {
  return {"budgets", "b" + std::to_string(HashBytes(name) % kParts), name};
}

}  // namespace

BudgetState DecodeBudget(const nlohmann::json& json) {
  BudgetState state;
  if (!json.is_object()) return state;
  const auto spent = json.find("spent");
  if (spent != json.end() && spent->is_number_unsigned()) {
    state.spent = spent->get<uint64_t>();
  }
  const auto allowances = json.find("allowances");
  if (allowances == json.end() || !allowances->is_object()) return state;
  for (const auto& [gateway, item] : allowances->items()) {
    const bool readable = item.is_array() && item.size() == 2 &&
                          item[0].is_number_unsigned() &&
                          item[1].is_number_integer();
    if (!readable) continue;
    state.allowances[gateway] = {item[0].get<uint64_t>(),
                                 Ms{item[1].get<int64_t>()}};
  }
  return state;
}

nlohmann::json EncodeBudget(const BudgetState& state) {
  nlohmann::json allowances = nlohmann::json::object();
  for (const auto& [gateway, allowance] : state.allowances) {
    allowances[gateway] = {allowance.tokens, allowance.at.count};
  }
  return {{"spent", state.spent}, {"allowances", std::move(allowances)}};
}

ClaimVerdict ApplyClaim(const BudgetClaim& claim, BudgetState& state) {
  BudgetState next = state;
  next.spent += claim.spent;
  next.allowances.erase(claim.gateway);
  uint64_t elsewhere = 0;
  for (auto it = next.allowances.begin(); it != next.allowances.end();) {
    if (claim.now - it->second.at > kAllowanceLapses) {
      next.spent += it->second.tokens;
      it = next.allowances.erase(it);
    } else {
      elsewhere += it->second.tokens;
      ++it;
    }
  }
  const uint64_t sure = next.spent + claim.running + claim.most;
  if (claim.most > 0 && sure + elsewhere > claim.budget) {
    return sure > claim.budget || elsewhere == 0 ? ClaimVerdict::kExhausted
                                                 : ClaimVerdict::kHeldElsewhere;
  }
  uint64_t tokens = claim.running + claim.most;
  const uint64_t used = sure + elsewhere;
  const uint64_t kept = used + kTurnsLeft * claim.most;
  if (claim.most > 0 && kept < claim.budget) {
    tokens += std::min((claim.budget - kept) / kAheadDivisor,
                       kTurnsAhead * claim.most);
  }
  if (tokens > 0) next.allowances[claim.gateway] = {tokens, claim.now};
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
  while (program->busy) {
    const Ms left = deadline - clock_.Now();
    if (left <= Ms{0}) co_return false;
    co_await program->freed.Wait(left);
  }
  program->busy = true;
  co_return true;
}

void Budgets::Unlock(Program& program) {
  program.busy = false;
  program.freed.Notify();
}

Task<ReserveResult> Budgets::Claim(std::string name, ProgramPtr program,
                                   uint64_t budget, uint64_t most,
                                   Ms deadline) {
  BudgetClaim claim;
  claim.gateway = gateway_;
  claim.budget = budget;
  claim.spent = program->spent;
  claim.running = program->running;
  claim.most = most;
  ClaimVerdict verdict = ClaimVerdict::kGranted;
  uint64_t allowance = 0;
  bool is_new = false;
  const RowChange change = [&](nlohmann::json& json) {
    is_new = !json.is_object();
    BudgetState state = DecodeBudget(json);
    claim.now = store_.StoreNow();
    verdict = ApplyClaim(claim, state);
    if (verdict != ClaimVerdict::kGranted) return false;
    allowance = state.allowances[gateway_].tokens;
    json = EncodeBudget(state);
    return true;
  };
  const RowKey key = KeyOf(name);
  const UpdateOutcome outcome =
      co_await rows_.Update(key, program->row, change, deadline, kRefusalFresh);
  if (outcome == UpdateOutcome::kChanged) {
    program->spent -= claim.spent;
    program->allowance = allowance;
    program->ample = allowance > program->running + most;
    program->allowed_at = clock_.Now();
    co_return ReserveResult{Reservation::kReserved, is_new};
  }
  if (outcome == UpdateOutcome::kDeclined) {
    co_return ReserveResult{verdict == ClaimVerdict::kExhausted
                                ? Reservation::kExhausted
                                : Reservation::kHeldElsewhere,
                            is_new};
  }
  // After an unknown outcome the row may hold a larger allowance than is
  // believed here, which the next write corrects.
  co_return ReserveResult{Reservation::kUnavailable, is_new};
}

Task<ReserveResult> Budgets::Reserve(std::string name, uint64_t budget,
                                     uint64_t most, Ms deadline) {
  const ProgramPtr program = Find(name);
  const bool locked = co_await Lock(program, deadline);
  if (!locked) co_return ReserveResult{};
  ReserveResult result{Reservation::kReserved, false};
  const bool lapsed =
      clock_.Now() - program->allowed_at > kAllowanceLapses - kConfirmEvery;
  if (lapsed || program->spent + program->running + most > program->allowance) {
    result = co_await Claim(name, program, budget, most, deadline);
  }
  if (result.reservation == Reservation::kReserved) program->running += most;
  Unlock(*program);
  co_return result;
}

void Budgets::Settle(const std::string& name, uint64_t most, uint64_t spent) {
  const ProgramPtr program = Find(name);
  program->running -= std::min(most, program->running);
  program->spent += spent;
}

Task<bool> Budgets::WriteBack(std::string name, ProgramPtr program,
                              bool release) {
  program->busy = true;
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
  }
  Unlock(*program);
  co_return outcome == UpdateOutcome::kChanged;
}

bool Budgets::IsIdle(const Program& program) const {
  const Ms idle_for = program.ample ? kIdleAmple : kIdleTight;
  return program.running == 0 && clock_.Now() - program.used_at >= idle_for;
}

Task<void> Budgets::Flush(bool all) {
  const Ms now = clock_.Now();
  std::vector<std::pair<std::string, ProgramPtr>> due;
  for (const auto& [name, program] : programs_) {
    if (program->busy) continue;
    const bool idle = all || IsIdle(*program);
    const bool old = now - program->allowed_at >= kConfirmEvery;
    if (program->allowance + program->spent > 0 && (idle || old)) {
      due.emplace_back(name, program);
    }
  }
  for (const auto& [name, program] : due) {
    if (program->busy) continue;
    const bool release = all || IsIdle(*program);
    const bool written = co_await WriteBack(name, program, release);
    if (!written && !store_.reachable()) break;
  }
  DropIdle();
}

void Budgets::DropIdle() {
  const Ms before = clock_.Now() - kForgetAfter;
  std::erase_if(programs_, [&](const auto& item) {
    const Program& program = *item.second;
    return !program.busy && program.running == 0 && program.spent == 0 &&
           program.allowance == 0 && program.used_at < before;
  });
}

}  // namespace knapweed::gateway
