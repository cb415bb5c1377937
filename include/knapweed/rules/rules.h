#ifndef KNAPWEED_RULES_RULES_H_
#define KNAPWEED_RULES_RULES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "knapweed/base/clock.h"
#include "knapweed/base/ids.h"
#include "knapweed/rules/key_list.h"

namespace knapweed {

/// A call on a model route is a turn of a program; a service route forwards a
/// single call to a plain service.
enum class RouteKind : uint8_t { kModel, kService };

/// Maps the request path `path`, matched exactly, to the upstreams of `pool`.
/// Only a service route can be open or non-idempotent.
struct RouteRule {
  std::string path;
  RouteKind kind = RouteKind::kModel;
  std::string pool;
  bool open = false;
  bool non_idempotent = false;
};

/// A group of interchangeable upstreams.
struct PoolRule {
  std::string name;
  /// Empty for a pool of plain services.
  std::vector<std::string> models;
  /// Whether its upstreams reject requests with an outdated fencing number.
  bool checks_fencing = false;
};

/// Rate limit and weight of a workspace. `rate_per_s` and `burst` count calls
/// across all entry processes.
struct WorkspaceRule {
  WorkspaceId id;
  double rate_per_s = 0;
  double burst = 0;
  double weight = 1;
};

/// Limits for each program of a workspace; zero means no limit. The workspace
/// "*" covers every workspace without its own budget.
struct BudgetRule {
  WorkspaceId workspace;
  uint64_t tokens = 0;
  uint64_t turns = 0;
  Ms time;
};

/// The fraction of each rate and burst that a failure domain may use while it
/// can't reach the other domains. All shares together are at most 1.
struct DomainRule {
  FailureDomain id;
  double share = 0;
};

/// A valid configuration in parsed form; immutable once published. Each list is
/// sorted by its name, path or id, as the lookups below require.
struct Rules {
  uint64_t version = 0;
  std::vector<RouteRule> routes;
  std::vector<PoolRule> pools;
  std::vector<WorkspaceRule> workspaces;
  std::vector<BudgetRule> budgets;
  std::vector<DomainRule> domains;
  KeyList keys;
};

/// Sorts every list as the lookups require; for rules that were not made by
/// `ParseRules` or `CompileConfig`.
void SortRules(Rules& rules);

/// The lookups return null when there is no match. Results point into `rules`.
const RouteRule* FindRoute(const Rules& rules, std::string_view path);
const PoolRule* FindPool(const Rules& rules, std::string_view name);
const WorkspaceRule* FindWorkspace(const Rules& rules, const WorkspaceId& id);
const DomainRule* FindDomain(const Rules& rules, const FailureDomain& id);
/// Returns the workspace's own budget, else the budget of "*", else null.
const BudgetRule* FindBudget(const Rules& rules, const WorkspaceId& id);
/// Returns the record with that id, withdrawn or not.
const KeyRecord* FindKeyRecord(const Rules& rules, std::string_view id);

/// Authenticates a presented key of the form "kw_KEYID_SECRET": returns its
/// record, with the digests compared in constant time. Null when the key is
/// unknown or withdrawn, or its workspace has no rule.
const KeyRecord* FindKey(const Rules& rules, std::string_view presented);

}  // namespace knapweed

#endif  // KNAPWEED_RULES_RULES_H_
