#ifndef KNAPWEED_GATEWAY_BUDGET_ROW_H_
#define KNAPWEED_GATEWAY_BUDGET_ROW_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "knapweed/base/clock.h"
#include "knapweed/base/settings.h"
#include "knapweed/gateway/records.h"
#include "knapweed/gateway/swept_table.h"
#include "knapweed/gateway/turn_witness.h"

/// The row of a program's token budget, and the rules by which gateways change
/// it. Pure functions.
namespace knapweed::gateway {

/// How others can tell what was spent of an allowance when its holder is gone.
/// Each turn that runs on it is known to one witness: another gateway, mostly
/// the one that runs the turn.
struct BudgetLease {
  /// Counts the leases of one holder.
  uint64_t number = 0;
  /// When it began, on the store's clock.
  Ms since;
  /// Tokens that the holder has added to the row's `spent` since then.
  uint64_t flushed = 0;
  /// Token limits of the turns that ran on an earlier lease of the holder when
  /// this one began. They count as spent.
  uint64_t carried = 0;
  /// Names of the witnesses' processes by peer address. A process that has
  /// started since knows nothing of the lease.
  std::map<Address, std::string> witnesses;
  /// A turn may have run on it that no witness knows.
  bool is_unwitnessed = false;

  /// Returns whether this process is listed.
  bool Lists(const Address& address, const std::string& process) const;
};

/// The decoded row of a program; `allowances` is keyed by gateway name.
struct BudgetState {
  /// Tokens set aside for one gateway. `at` is when the gateway last confirmed
  /// the allowance, on the store's clock. A gateway of an earlier build states
  /// no lease.
  struct Allowance {
    uint64_t tokens = 0;
    Ms at;
    std::optional<BudgetLease> lease = {};
  };

  uint64_t spent = 0;
  std::map<std::string, Allowance> allowances;
  /// When the row was last written, on the store's clock.
  Ms written_at;
};

/// What the witnesses of another gateway's lease have told. They let no turn
/// begin on it any more.
struct TakenOverLease {
  std::string holder;
  uint64_t number = 0;
  /// Tokens of its turns that have ended.
  uint64_t settled = 0;
  /// Those that have not.
  std::map<std::string, WitnessedTurn> running;

  /// Returns the sum of the token limits of those that have not ended.
  uint64_t RunningTokens() const;
};

/// A gateway's request to change a program's row: adds its spending and asks
/// for an allowance.
struct BudgetClaim {
  std::string gateway;
  uint64_t budget = 0;
  /// Tokens spent at this gateway and not yet written to the row.
  uint64_t spent = 0;
  /// Sum of the token limits of the turns running at this gateway.
  uint64_t running = 0;
  /// Token limit of the turn to start; 0 when the claim starts no turn.
  uint64_t max_tokens = 0;
  /// Current time on the store's clock.
  Ms now;
  /// The lease of the allowance, before this claim's spending.
  std::optional<BudgetLease> lease = {};
  /// Leases that the claim takes over, with the turns that run on them.
  std::vector<TakenOverLease> taken_over = {};
  /// Holders of leases of which not all witnesses have answered.
  std::vector<std::string> unanswered = {};
};

/// The result of `ApplyClaim`.
enum class ClaimVerdict : uint8_t {
  kGranted,
  /// The rest of the budget is too small for the turn, even if all other
  /// gateways returned their allowances.
  kExhausted,
  /// The turn may fit once another gateway returns unused tokens.
  kHeldElsewhere,
};

/// Applies a claim to a row: adds the claimed spending and sets the gateway's
/// allowance to what its turns need, plus extra tokens when the budget has
/// ample room. Of a lease that it takes over, what was spent counts as spent
/// and what its turns may still spend is added to the allowance. A claim that
/// starts a turn counts allowances that others have not confirmed for a while
/// as spent. Leaves the row unchanged unless the claim is granted.
ClaimVerdict ApplyClaim(const BudgetClaim& claim, BudgetState& state);

/// Returns those of the leases that a claim takes over which the row still has.
std::vector<TakenOverLease> TakenOverIn(const BudgetClaim& claim,
                                        const BudgetState& state);

/// Returns the holders whose leases a claim should take over before it is
/// applied: those that are in its way, or that it would count as spent in full,
/// and whose witnesses can tell what was spent.
std::vector<std::string> HoldersToAskFor(const BudgetClaim& claim,
                                         const BudgetState& state);

/// Decodes the state of a row; skips malformed fields.
BudgetState DecodeBudget(const nlohmann::json& json);
nlohmann::json EncodeBudget(const BudgetState& state);

/// Describes the budget table to `RowSweeper`.
SweptTable BudgetTable();
/// Returns the key of a program's row.
RowKey BudgetKeyOf(const std::string& program);

/// An allowance that has not been confirmed for so long belongs to a gateway
/// that crashed.
inline constexpr Ms kAllowanceTtl{12000};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_BUDGET_ROW_H_
