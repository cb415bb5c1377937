#include "knapweed/rules/rules.h"

#include <algorithm>
#include <functional>

#include "knapweed/rules/keys.h"

namespace knapweed {
namespace {

constexpr std::string_view kEveryWorkspace = "*";

/// Returns the element for which `name_of` gives `name`, or null. The list is
/// sorted by `name_of`.
template <typename List, typename NameOf>
auto FindByName(const List& list, std::string_view name, NameOf name_of)
    -> decltype(&*list.begin()) {
  const auto it = std::ranges::lower_bound(list, name, {}, name_of);
  if (it == list.end() || name_of(*it) != name) return nullptr;
  return &*it;
}

std::string_view PathOf(const RouteRule& rule) { return rule.path; }
std::string_view NameOf(const PoolRule& rule) { return rule.name; }
std::string_view WorkspaceOf(const WorkspaceRule& rule) {
  return rule.id.value;
}
std::string_view BudgetOwnerOf(const BudgetRule& rule) {
  return rule.workspace.value;
}
std::string_view DomainOf(const DomainRule& rule) { return rule.id.value; }
std::string_view KeyIdOf(const KeyRecord& key) { return key.id; }

}  // namespace

void SortRules(Rules& rules) {
  std::ranges::sort(rules.routes, {}, PathOf);
  std::ranges::sort(rules.pools, {}, NameOf);
  std::ranges::sort(rules.workspaces, {}, WorkspaceOf);
  std::ranges::sort(rules.budgets, {}, BudgetOwnerOf);
  std::ranges::sort(rules.domains, {}, DomainOf);
  if (!std::ranges::is_sorted(rules.keys, {}, KeyIdOf)) {
    std::ranges::sort(rules.keys.Edit(), {}, KeyIdOf);
  }
}

const RouteRule* FindRoute(const Rules& rules, std::string_view path) {
  return FindByName(rules.routes, path, PathOf);
}

const PoolRule* FindPool(const Rules& rules, std::string_view name) {
  return FindByName(rules.pools, name, NameOf);
}

const WorkspaceRule* FindWorkspace(const Rules& rules, const WorkspaceId& id) {
  return FindByName(rules.workspaces, id.value, WorkspaceOf);
}

const DomainRule* FindDomain(const Rules& rules, const FailureDomain& id) {
  return FindByName(rules.domains, id.value, DomainOf);
}

const BudgetRule* FindBudget(const Rules& rules, const WorkspaceId& id) {
  const BudgetRule* own = FindByName(rules.budgets, id.value, BudgetOwnerOf);
  if (own != nullptr) return own;
  return FindByName(rules.budgets, kEveryWorkspace, BudgetOwnerOf);
}

const KeyRecord* FindKeyRecord(const Rules& rules, std::string_view id) {
  return FindByName(rules.keys, id, KeyIdOf);
}

const KeyRecord* FindKey(const Rules& rules, std::string_view presented) {
  const KeyParts parts = SplitKey(presented);
  if (parts.id.empty()) return nullptr;
  const KeyRecord* record = FindKeyRecord(rules, parts.id);
  if (record == nullptr || record->withdrawn) return nullptr;
  if (!SecretMatches(*record, parts.secret)) return nullptr;
  if (FindWorkspace(rules, record->workspace) == nullptr) return nullptr;
  return record;
}

}  // namespace knapweed
