#include "knapweed/rules/diff_rules.h"

#include <map>

#include "absl/strings/ascii.h"
#include "absl/strings/str_split.h"

namespace knapweed {
namespace {

/// Returns the lines by "kind name", without surrounding whitespace.
std::map<std::string, std::string> RulesByName(std::string_view text) {
  std::map<std::string, std::string> rules;
  for (absl::string_view line :
       absl::StrSplit(absl::string_view(text.data(), text.size()), '\n')) {
    line = absl::StripAsciiWhitespace(line);
    if (line.empty() || line.front() == '#') continue;
    const std::vector<std::string> words =
        absl::StrSplit(line, absl::ByAnyChar(" \t"), absl::SkipWhitespace());
    const std::string name =
        words.size() > 1 ? words[0] + " " + words[1] : words[0];
    rules.try_emplace(name, line);
  }
  return rules;
}

}  // namespace

std::vector<RuleChange> DiffRules(std::string_view before,
                                  std::string_view after) {
  const auto from = RulesByName(before);
  const auto to = RulesByName(after);
  std::map<std::string, RuleChange> changes;
  for (const auto& [name, line] : from) changes[name].before = line;
  for (const auto& [name, line] : to) changes[name].after = line;
  std::vector<RuleChange> list;
  for (auto& [name, change] : changes) {
    if (change.before != change.after) list.push_back(std::move(change));
  }
  return list;
}

}  // namespace knapweed
