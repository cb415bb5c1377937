#include "knapweed/gateway/budgets.h"

#include <algorithm>
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
constexpr Ms kFlushTimeout{2000};
/// A refusal is repeated without reading the row again for this long.
constexpr Ms kRefusalFresh{200};

RowKey KeyOf(const std::string& name) {
  return {"budgets", "b" + std::to_string(HashBytes(name) % kParts), name};
}

uint64_t Field(const nlohmann::json& state, const char* name) {
  const auto it = state.find(name);
  return it != state.end() && it->is_number_unsigned() ? it->get<uint64_t>()
                                                       : 0;
}

}  // namespace

Budgets::ProgramPtr Budgets::Find(const std::string& name) {
  ProgramPtr& program = programs_[name];
  if (program == nullptr) program = std::make_shared<Program>(loop_);
  program->used_at = clock_.Now();
  return program;
}

Task<bool> Budgets::Lock(Program& program, Ms deadline) {
  while (program.busy) {
    const Ms left = deadline - clock_.Now();
    if (left <= Ms{0}) co_return false;
    co_await program.freed.Wait(left);
  }
  program.busy = true;
  co_return true;
}

void Budgets::Unlock(Program& program) {
  program.busy = false;
  program.freed.Notify();
}

Task<UpdateOutcome> Budgets::Write(const std::string& name, Program& program,
                                   uint64_t budget, uint64_t most,
                                   Ms deadline) {
  const uint64_t ended_most = program.ended_most;
  const uint64_t ended_spent = program.ended_spent;
  const RowChange change = [=](nlohmann::json& state) {
    uint64_t spent = 0;
    uint64_t reserved = 0;
    if (state.is_object()) {
      spent = Field(state, "spent");
      reserved = Field(state, "reserved");
    }
    spent += ended_spent;
    reserved -= std::min(reserved, ended_most);
    if (most > 0 && spent + reserved + most > budget) return false;
    state = {{"spent", spent}, {"reserved", reserved + most}};
    return true;
  };
  const RowKey key = KeyOf(name);
  const UpdateOutcome outcome =
      co_await rows_.Update(key, program.row, change, deadline, kRefusalFresh);
  if (outcome == UpdateOutcome::kChanged) {
    program.ended_most -= ended_most;
    program.ended_spent -= ended_spent;
  }
  co_return outcome;
}

Task<Reservation> Budgets::Reserve(std::string name, uint64_t budget,
                                   uint64_t most, Ms deadline) {
  const ProgramPtr program = Find(name);
  const bool locked = co_await Lock(*program, deadline);
  if (!locked) co_return Reservation::kUnavailable;
  const UpdateOutcome outcome =
      co_await Write(name, *program, budget, most, deadline);
  Unlock(*program);
  switch (outcome) {
    case UpdateOutcome::kChanged:
      co_return Reservation::kReserved;
    case UpdateOutcome::kDeclined:
      co_return Reservation::kExhausted;
    case UpdateOutcome::kUnknown:
      // The reservation may stand in the row. The turn does not run, so it is
      // to be released; releasing one that was not made is bounded by zero.
      kLog.Info("A reservation is in doubt; the turn is refused.",
                {{"program", name}, {"tokens", most}});
      co_return Reservation::kUnavailable;
    case UpdateOutcome::kNotDone:
      co_return Reservation::kUnavailable;
  }
  co_return Reservation::kUnavailable;
}

void Budgets::Settle(const std::string& name, uint64_t most, uint64_t spent) {
  const ProgramPtr program = Find(name);
  if (program->ended_most == 0) program->ended_at = clock_.Now();
  program->ended_most += most;
  program->ended_spent += spent;
}

Task<void> Budgets::Flush(Ms older_than) {
  const Ms before = clock_.Now() - older_than;
  std::vector<std::pair<std::string, ProgramPtr>> due;
  for (const auto& [name, program] : programs_) {
    if (program->ended_most > 0 && !program->busy &&
        program->ended_at <= before) {
      due.emplace_back(name, program);
    }
  }
  for (const auto& [name, program] : due) {
    if (program->busy || program->ended_most == 0) continue;
    program->busy = true;
    const Ms deadline = clock_.Now() + kFlushTimeout;
    const UpdateOutcome outcome =
        co_await Write(name, *program, 0, 0, deadline);
    Unlock(*program);
    if (outcome == UpdateOutcome::kNotDone) break;
  }
  DropIdle();
}

bool Budgets::HasUnsettled() const {
  return std::any_of(programs_.begin(), programs_.end(), [](const auto& item) {
    return item.second->ended_most > 0;
  });
}

void Budgets::DropIdle() {
  const Ms before = clock_.Now() - kForgetAfter;
  std::erase_if(programs_, [&](const auto& item) {
    const Program& program = *item.second;
    return !program.busy && program.ended_most == 0 && program.used_at < before;
  });
}

}  // namespace knapweed::gateway
