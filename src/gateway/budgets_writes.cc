// Writes of the rows of budgets, once it is known whether they were made.
#include <numeric>
#include <utility>

#include "knapweed/base/log.h"
#include "knapweed/gateway/budgets.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("budget");

}  // namespace

uint64_t Budgets::RowWrite::RunningTokens() const {
  return std::accumulate(taken_over.begin(), taken_over.end(), uint64_t{0},
                         [](uint64_t sum, const TakenOverLease& taken) {
                           return sum + taken.RunningTokens();
                         });
}

void Budgets::HoldTurnsOf(const std::string& name, const Program& program,
                          const RowWrite& write) {
  const bool is_unknown = program.unknown.has_value();
  const uint64_t lease =
      write.allowance.lease.has_value() ? write.allowance.lease->number : 0;
  for (const TakenOverLease& taken : write.taken_over) {
    for (const auto& [turn, held] : taken.running) {
      remote_turns_[turn] = {
          name, held.max_tokens, held.expires_at, {name, gateway_, lease},
          {},   is_unknown};
    }
  }
}

void Budgets::DropTurnsOf(const RowWrite& write) {
  for (const TakenOverLease& taken : write.taken_over) {
    for (const auto& [turn, held] : taken.running) {
      const auto it = remote_turns_.find(turn);
      const bool is_held = it != remote_turns_.end() && it->second.is_unknown;
      if (is_held) remote_turns_.erase(it);
    }
  }
}

void Budgets::Adopt(const std::string& name, Program& program,
                    const RowWrite& write) {
  program.unknown.reset();
  program.spent = program.spent - write.spent + write.settled;
  program.running += write.RunningTokens();
  program.allowance = write.allowance.tokens;
  if (write.allowance.lease.has_value()) program.lease = *write.allowance.lease;
  program.allowed_at = write.prepared_at;
  HoldTurnsOf(name, program, write);
}

void Budgets::KeepUnknown(const std::string& name, Program& program,
                          RowWrite write) {
  kLog.Info("It is unknown whether a row of a budget was written.",
            {{"program", name},
             {"tokens", write.allowance.tokens},
             {"spent", write.spent},
             {"running", write.RunningTokens()}});
  program.unknown = std::move(write);
  HoldTurnsOf(name, program, *program.unknown);
}

bool Budgets::HasAllowanceOf(const Program& program) const {
  const BudgetState::Allowance& written = program.unknown->allowance;
  const BudgetState state = DecodeBudget(program.row.state);
  const auto own = state.allowances.find(gateway_);
  return own != state.allowances.end() && own->second.lease.has_value() &&
         written.lease.has_value() && own->second.at == written.at &&
         own->second.lease->number == written.lease->number;
}

Task<bool> Budgets::Resolve(std::string name, ProgramPtr program) {
  if (!program->unknown.has_value()) co_return true;
  const ChangeFate fate =
      co_await rows_.Resolve(BudgetKeyOf(name), program->row);
  if (fate == ChangeFate::kUnknown) co_return false;
  // The allowance stays in the row when its writer's mark is evicted.
  const bool is_made = fate == ChangeFate::kMade || HasAllowanceOf(*program);
  // A copy, since it is replaced.
  const RowWrite write = *program->unknown;
  kLog.Info("It is known now whether a row of a budget was written.",
            {{"program", name},
             {"made", is_made ? 1 : 0},
             {"settled", write.settled},
             {"running", write.RunningTokens()}});
  if (is_made) {
    Adopt(name, *program, write);
  } else {
    DropTurnsOf(write);
    program->unknown.reset();
  }
  co_return true;
}

BudgetLease Budgets::Rebase(const Program& program, BudgetLease asked) {
  if (asked.number != program.lease.number) {
    asked.carried = program.running;
    return asked;
  }
  BudgetLease lease = program.lease;
  lease.witnesses.insert(asked.witnesses.begin(), asked.witnesses.end());
  lease.is_unwitnessed = lease.is_unwitnessed || asked.is_unwitnessed;
  return lease;
}

void Budgets::EndRemote(const RemoteTurn& held, const std::string& turn,
                        uint64_t spent) {
  if (!held.is_unknown) {
    SettleHere(held.program, held.lease, held.max_tokens, spent);
    return;
  }
  RowWrite& write = *Find(held.program)->unknown;
  for (TakenOverLease& taken : write.taken_over) {
    if (taken.running.erase(turn) > 0) write.settled += spent;
  }
}

}  // namespace knapweed::gateway
