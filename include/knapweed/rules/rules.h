#ifndef KNAPWEED_RULES_RULES_H_
#define KNAPWEED_RULES_RULES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "knapweed/base/clock.h"
#include "knapweed/base/ids.h"

namespace knapweed {

/// A model route continues a program; a service route passes one call to a
/// plain service.
enum class RouteKind : uint8_t { kModel, kService };

/// `path` is the path that callers use; `pool` names the upstreams behind it.
struct RouteRule {
  std::string path;
  RouteKind kind = RouteKind::kModel;
  std::string pool;
  bool open = false;
  bool non_idempotent = false;
};

struct PoolRule {
  std::string name;
  /// Empty for a pool of plain services.
  std::vector<std::string> models;
  /// Whether its upstreams refuse an order that carries an old fencing number.
  bool checks_fencing = false;
};

/// `rate` and `burst` count calls, across all entries together.
struct WorkspaceRule {
  WorkspaceId id;
  double rate_per_s = 0;
  double burst = 0;
  double weight = 1;
};

/// Limits of one program; a zero means no limit.
struct BudgetRule {
  WorkspaceId workspace;
  uint64_t tokens = 0;
  uint64_t turns = 0;
  Ms time;
};

/// A caller's key as kept: never the key itself.
struct KeyRecord {
  std::string id;
  WorkspaceId workspace;
  std::string salt;
  std::string digest;
  bool withdrawn = false;
};

/// One accepted configuration; immutable once published.
struct Rules {
  uint64_t version = 0;
  std::vector<RouteRule> routes;
  std::vector<PoolRule> pools;
  std::vector<WorkspaceRule> workspaces;
  std::vector<BudgetRule> budgets;
  std::vector<KeyRecord> keys;
};

/// Null when there is none. Valid as long as the rules are.
const RouteRule* FindRoute(const Rules& rules, std::string_view path);
const PoolRule* FindPool(const Rules& rules, std::string_view name);
const WorkspaceRule* FindWorkspace(const Rules& rules, const WorkspaceId& id);
/// The workspace's own budget, or the one for all workspaces, or null.
const BudgetRule* FindBudget(const Rules& rules, const WorkspaceId& id);

/// The record whose digest matches a presented key, compared in constant time;
/// null when the key is unknown or withdrawn. A key reads "kw_KEYID_SECRET".
const KeyRecord* FindKey(const Rules& rules, std::string_view presented);

}  // namespace knapweed

#endif  // KNAPWEED_RULES_RULES_H_
