#include "knapweed/gateway/budget_row.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "knapweed/base/ids.h"
#include "knapweed/base/json.h"

namespace knapweed::gateway {
namespace {

using nlohmann::json;

/// Number of parts (partitions) of the budget table. The store commits about
/// 200 times a second per part, one commit after another; with 256 parts two
/// programs rarely wait for each other.
constexpr uint64_t kParts = 256;
constexpr char kTable[] = "budgets";
constexpr char kPartPrefix[] = "b";
/// Extra tokens in an allowance beyond what its turns need: half of what the
/// budget holds after another `kTurnsLeftOver` turns at their limit, up to the
/// limit of `kMaxTurnsAhead` turns. The rest stays available to other gateways.
constexpr uint64_t kMaxTurnsAhead = 8;
constexpr uint64_t kTurnsLeftOver = 4;
constexpr uint64_t kAheadDivisor = 2;

std::optional<Ms> ExpiresAt(std::string_view value, Ms retention) {
  const json row = ParseJson(value);
  if (!row.is_object() || !row.contains("state")) return std::nullopt;
  const BudgetState state = DecodeBudget(row["state"]);
  if (state.written_at == Ms{0}) return std::nullopt;
  return state.written_at + retention;
}

/// Returns nothing unless all of it is well-formed: what was spent must not be
/// taken for less.
std::optional<BudgetLease> DecodeLease(const json& item) {
  const json* witnesses = FindField(item, "witnesses");
  const std::optional<Ms> since = MsField(item, "since");
  const bool readable = item.is_object() && witnesses != nullptr &&
                        witnesses->is_object() && since.has_value() &&
                        item.contains("flushed") && item.contains("carried") &&
                        CountOf(item["flushed"]) == item["flushed"] &&
                        CountOf(item["carried"]) == item["carried"];
  if (!readable) return std::nullopt;
  BudgetLease lease;
  lease.number = CountField(item, "number");
  lease.since = *since;
  lease.flushed = CountField(item, "flushed");
  lease.carried = CountField(item, "carried");
  lease.is_unwitnessed = FlagField(item, "unwitnessed");
  for (const auto& [text, process] : witnesses->items()) {
    Address address;
    if (!process.is_string() || !ParseAddress(text, &address)) {
      return std::nullopt;
    }
    lease.witnesses[address] = process.get<std::string>();
  }
  return lease;
}

json EncodeLease(const BudgetLease& lease) {
  json witnesses = json::object();
  for (const auto& [address, process] : lease.witnesses) {
    witnesses[address.ToString()] = process;
  }
  json item = {{"number", lease.number},
               {"since", lease.since.count},
               {"flushed", lease.flushed},
               {"carried", lease.carried},
               {"witnesses", std::move(witnesses)}};
  if (lease.is_unwitnessed) item["unwitnessed"] = true;
  return item;
}

bool IsExpired(const BudgetState::Allowance& allowance, Ms now) {
  return now - allowance.at > kAllowanceTtl;
}

/// Returns what a claim takes over of an allowance; null if nothing.
const TakenOverLease* FindTakenOver(const BudgetClaim& claim,
                                    const std::string& holder,
                                    const BudgetState::Allowance& allowance) {
  const auto it = std::find_if(claim.taken_over.begin(), claim.taken_over.end(),
                               [&](const TakenOverLease& lease) {
                                 return lease.holder == holder &&
                                        allowance.lease.has_value() &&
                                        lease.number == allowance.lease->number;
                               });
  return it == claim.taken_over.end() ? nullptr : &*it;
}

/// Returns whether the row holds the lease of a claim already.
bool GoesOn(const BudgetClaim& claim, const BudgetState& state) {
  const auto own = state.allowances.find(claim.gateway);
  return own != state.allowances.end() && own->second.lease.has_value() &&
         claim.lease.has_value() &&
         own->second.lease->number == claim.lease->number;
}

/// A witness may have forgotten a lease that is older.
bool HasWitnesses(const BudgetState::Allowance& allowance, Ms now) {
  return allowance.lease.has_value() && !allowance.lease->is_unwitnessed &&
         now - allowance.lease->since < TurnWitness::kKept / 2;
}

}  // namespace

uint64_t TakenOverLease::RunningTokens() const {
  return std::accumulate(running.begin(), running.end(), uint64_t{0},
                         [](uint64_t sum, const auto& item) {
                           return sum + item.second.max_tokens;
                         });
}

bool BudgetLease::Lists(const Address& address,
                        const std::string& process) const {
  const auto it = witnesses.find(address);
  return it != witnesses.end() && it->second == process;
}

RowKey BudgetKeyOf(const std::string& program) {
  return {kTable, kPartPrefix + std::to_string(HashBytes(program) % kParts),
          program};
}

SweptTable BudgetTable() { return {kTable, kPartPrefix, kParts, ExpiresAt}; }

BudgetState DecodeBudget(const json& json) {
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
    state.allowances[gateway] = {CountOf(item[0]), *MsOf(item[1]), {}};
  }
  // Beside the allowances, which earlier builds read and write as they are.
  const nlohmann::json* leases = FindField(json, "leases");
  if (leases == nullptr || !leases->is_object()) return state;
  for (const auto& [gateway, item] : leases->items()) {
    const auto it = state.allowances.find(gateway);
    if (it != state.allowances.end()) it->second.lease = DecodeLease(item);
  }
  return state;
}

json EncodeBudget(const BudgetState& state) {
  json allowances = json::object();
  json leases = json::object();
  for (const auto& [gateway, allowance] : state.allowances) {
    allowances[gateway] = {allowance.tokens, allowance.at.count};
    if (allowance.lease.has_value()) {
      leases[gateway] = EncodeLease(*allowance.lease);
    }
  }
  json row = {{"spent", state.spent},
              {"allowances", std::move(allowances)},
              {"written_at", state.written_at.count}};
  if (!leases.empty()) row["leases"] = std::move(leases);
  return row;
}

ClaimVerdict ApplyClaim(const BudgetClaim& claim, BudgetState& state) {
  BudgetState next = state;
  next.spent += claim.spent;
  next.allowances.erase(claim.gateway);
  uint64_t running = claim.running;
  uint64_t carried = 0;
  uint64_t held_elsewhere = 0;
  for (auto it = next.allowances.begin(); it != next.allowances.end();) {
    const auto& [holder, allowance] = *it;
    const TakenOverLease* taken = FindTakenOver(claim, holder, allowance);
    if (taken != nullptr) {
      const uint64_t flushed = allowance.lease->flushed;
      next.spent += allowance.lease->carried + taken->settled -
                    std::min(taken->settled, flushed);
      carried += taken->RunningTokens();
      it = next.allowances.erase(it);
    } else if (claim.max_tokens > 0 && IsExpired(allowance, claim.now)) {
      next.spent += allowance.tokens;
      it = next.allowances.erase(it);
    } else {
      held_elsewhere += allowance.tokens;
      ++it;
    }
  }
  running += carried;
  const uint64_t needed = next.spent + running + claim.max_tokens;
  if (claim.max_tokens > 0 && needed + held_elsewhere > claim.budget) {
    return needed > claim.budget || held_elsewhere == 0
               ? ClaimVerdict::kExhausted
               : ClaimVerdict::kHeldElsewhere;
  }
  uint64_t tokens = running + claim.max_tokens;
  const uint64_t used = needed + held_elsewhere;
  const uint64_t kept = used + kTurnsLeftOver * claim.max_tokens;
  if (claim.max_tokens > 0 && kept < claim.budget) {
    tokens += std::min((claim.budget - kept) / kAheadDivisor,
                       kMaxTurnsAhead * claim.max_tokens);
  }
  if (tokens > 0) {
    BudgetState::Allowance& own = next.allowances[claim.gateway];
    own = {tokens, claim.now, claim.lease};
    if (own.lease.has_value()) {
      // What is written when a lease begins was spent on earlier ones.
      if (GoesOn(claim, state)) own.lease->flushed += claim.spent;
      own.lease->carried += carried;
    }
  }
  next.written_at = claim.now;
  state = std::move(next);
  return ClaimVerdict::kGranted;
}

std::vector<TakenOverLease> TakenOverIn(const BudgetClaim& claim,
                                        const BudgetState& state) {
  std::vector<TakenOverLease> found;
  for (const auto& [holder, allowance] : state.allowances) {
    const TakenOverLease* taken = FindTakenOver(claim, holder, allowance);
    if (taken != nullptr) found.push_back(*taken);
  }
  return found;
}

std::vector<std::string> HoldersToAskFor(const BudgetClaim& claim,
                                         const BudgetState& state) {
  std::vector<std::string> holders;
  BudgetState applied = state;
  const bool is_refused = ApplyClaim(claim, applied) != ClaimVerdict::kGranted;
  for (const auto& [holder, allowance] : state.allowances) {
    const bool is_unanswered =
        std::find(claim.unanswered.begin(), claim.unanswered.end(), holder) !=
        claim.unanswered.end();
    const bool is_open = holder != claim.gateway && !is_unanswered &&
                         HasWitnesses(allowance, claim.now) &&
                         FindTakenOver(claim, holder, allowance) == nullptr;
    if (is_open && (is_refused || IsExpired(allowance, claim.now))) {
      holders.push_back(holder);
    }
  }
  return holders;
}

}  // namespace knapweed::gateway
