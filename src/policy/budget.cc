#include "knapweed/policy/budget.h"

#include <algorithm>

namespace knapweed {
namespace {

uint64_t TokensLeft(const BudgetAccount& account) {
  if (account.token_limit == 0) return UINT64_MAX;
  const uint64_t committed = account.tokens_used + account.tokens_reserved;
  return account.token_limit - std::min(committed, account.token_limit);
}

bool HasTurn(const BudgetAccount& account) {
  return account.turn_limit == 0 || account.turns_used < account.turn_limit;
}

}  // namespace

BudgetGrant ReserveTurn(std::span<BudgetAccount* const> accounts,
                        uint64_t least, uint64_t want, Ms now) {
  uint64_t tokens = want;
  Ms time_left;
  for (const BudgetAccount* account : accounts) {
    tokens = std::min(tokens, TokensLeft(*account));
    if (tokens < least || tokens == 0 || !HasTurn(*account)) return {};
    if (account->time_limit == Ms{0}) continue;
    const Ms left = account->started_at + account->time_limit - now;
    if (left <= Ms{0}) return {};
    time_left = time_left == Ms{0} ? left : std::min(time_left, left);
  }
  for (BudgetAccount* account : accounts) {
    account->tokens_reserved += tokens;
    ++account->turns_used;
  }
  return {true, tokens, time_left};
}

void SettleTurn(std::span<BudgetAccount* const> accounts, uint64_t reserved,
                uint64_t used, bool ran) {
  for (BudgetAccount* account : accounts) {
    account->tokens_reserved -= std::min(reserved, account->tokens_reserved);
    if (ran) {
      account->tokens_used += used;
    } else if (account->turns_used > 0) {
      --account->turns_used;
    }
  }
}

}  // namespace knapweed
