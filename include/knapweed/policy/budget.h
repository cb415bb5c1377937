#ifndef KNAPWEED_POLICY_BUDGET_H_
#define KNAPWEED_POLICY_BUDGET_H_

#include <cstdint>
#include <span>

#include "knapweed/base/clock.h"
#include "knapweed/base/outcome.h"

namespace knapweed {

/// What one program may use and has used; a zero limit means none.
struct BudgetAccount {
  uint64_t token_limit = 0;
  uint64_t turn_limit = 0;
  Ms time_limit{0};
  Ms started_at{0};
  uint64_t tokens_used = 0;
  uint64_t tokens_reserved = 0;
  uint64_t turns_used = 0;
};

/// What one turn may use at most. `tokens` is zero when nothing is left.
struct BudgetGrant {
  bool granted = false;
  uint64_t tokens = 0;
  /// Time left; zero means no limit when granted.
  Ms time_left;
};

/// Reserves a turn before its dispatch from the program's account and from
/// those of all its ancestors, or from none of them. Grants fewer tokens than
/// `want` when the tightest account has fewer left, but not below `least`.
BudgetGrant ReserveTurn(std::span<BudgetAccount* const> accounts,
                        uint64_t least, uint64_t want, Ms now);

/// Replaces a reservation by what was used. A turn that proved not to have run
/// is given back with `ran` false.
void SettleTurn(std::span<BudgetAccount* const> accounts, uint64_t reserved,
                uint64_t used, bool ran);

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_BUDGET_H_
