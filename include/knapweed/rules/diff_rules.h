#ifndef KNAPWEED_RULES_DIFF_RULES_H_
#define KNAPWEED_RULES_DIFF_RULES_H_

#include <string>
#include <string_view>
#include <vector>

namespace knapweed {

/// A rule whose line differs between two rules files; `before` is empty for an
/// added rule and `after` for a removed one.
struct RuleChange {
  std::string before;
  std::string after;
};

/// Returns the rules that differ, matched and sorted by kind and name. Blank
/// lines, lines with only a comment, and the order of rules are ignored.
std::vector<RuleChange> DiffRules(std::string_view before,
                                  std::string_view after);

}  // namespace knapweed

#endif  // KNAPWEED_RULES_DIFF_RULES_H_
