#ifndef KNAPWEED_RULES_DIFF_RULES_H_
#define KNAPWEED_RULES_DIFF_RULES_H_

#include <string>
#include <string_view>
#include <vector>

namespace knapweed {

/// A rule whose line differs between two files; `before` is empty for an added
/// rule and `after` for a removed one.
struct RuleChange {
  std::string before;
  std::string after;
};

/// The rules that differ, matched by their kind and name and in that order.
/// Blank lines, lines of comment alone and the order of rules are left out.
std::vector<RuleChange> DiffRules(std::string_view before,
                                  std::string_view after);

}  // namespace knapweed

#endif  // KNAPWEED_RULES_DIFF_RULES_H_
