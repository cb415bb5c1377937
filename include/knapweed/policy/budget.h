#ifndef KNAPWEED_POLICY_BUDGET_H_
#define KNAPWEED_POLICY_BUDGET_H_

#include <cstdint>
#include <span>

#include "knapweed/base/clock.h"
#include "knapweed/base/outcome.h"

namespace knapweed {

/// Limits and usage of one program. A limit of zero means no limit.
struct BudgetAccount {
  uint64_t token_limit = 0;
  uint64_t turn_limit = 0;
  Ms time_limit{0};
  Ms started_at{0};
  uint64_t tokens_used = 0;
  uint64_t tokens_reserved = 0;
  uint64_t turns_used = 0;
};

/// The outcome of a reservation: the most that one turn may use. `tokens` is
/// zero when nothing is granted.
struct BudgetGrant {
  bool granted = false;
  uint64_t tokens = 0;
  /// Time left for the program; zero in a granted reservation means no limit.
  Ms time_left;
};

/// Reserves a turn before its dispatch, either in the accounts of the program
/// and of all its ancestors or in none of them. Grants `want` tokens, or fewer
/// if the tightest account has fewer left, but never fewer than `least`.
BudgetGrant ReserveTurn(std::span<BudgetAccount* const> accounts,
                        uint64_t least, uint64_t want, Ms now);

/// Replaces a reservation of `reserved` tokens by the tokens actually used.
/// `ran` is false for a turn that is proven not to have run; its reservation is
/// released and the turn is not counted.
void SettleTurn(std::span<BudgetAccount* const> accounts, uint64_t reserved,
                uint64_t used, bool ran);

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_BUDGET_H_
