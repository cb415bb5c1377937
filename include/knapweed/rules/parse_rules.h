#ifndef KNAPWEED_RULES_PARSE_RULES_H_
#define KNAPWEED_RULES_PARSE_RULES_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "knapweed/rules/rules.h"

namespace knapweed {

/// A larger rules file is refused unread.
inline constexpr size_t kMaxRulesBytes = 8 << 20;

/// One thing wrong with a rules file. Line and column count from 1; the column
/// counts bytes.
struct RulesFault {
  int line = 0;
  int column = 0;
  std::string message;
};

/// The rules of a file, with version 0 and no keys, or everything wrong with
/// it. The rules are only meaningful when there is no fault.
struct ParsedRules {
  Rules rules;
  std::vector<RulesFault> faults;
  bool ok() const { return faults.empty(); }
};

/// Reads a rules file: one rule a line, each with a comment `# who: why`. The
/// grammar is in docs/RULES.md. Faults come in the order of their lines.
ParsedRules ParseRules(std::string_view text);

/// "FILE:LINE:COLUMN: message" for each fault, a line each.
std::string FormatFaults(std::string_view file,
                         const std::vector<RulesFault>& faults);

}  // namespace knapweed

#endif  // KNAPWEED_RULES_PARSE_RULES_H_
