#ifndef KNAPWEED_RULES_PARSE_RULES_H_
#define KNAPWEED_RULES_PARSE_RULES_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "knapweed/rules/rules.h"

namespace knapweed {

/// A larger rules file is rejected without parsing it.
inline constexpr size_t kMaxRulesBytes = 8 << 20;

/// An error in a rules file. Lines and columns count from 1; columns count
/// bytes.
struct RulesFault {
  int line = 0;
  int column = 0;
  std::string message;
};

/// The rules of a file, with version 0 and no keys, and all faults of the file.
/// The rules are valid only when there are no faults.
struct ParsedRules {
  Rules rules;
  std::vector<RulesFault> faults;
  bool ok() const { return faults.empty(); }
};

/// Parses a rules file: one rule per line, each with a comment `# who: why`.
/// The grammar is in docs/RULES.md. Faults are sorted by line and column.
ParsedRules ParseRules(std::string_view text);

/// Returns one line "FILE:LINE:COLUMN: message" per fault.
std::string FormatFaults(std::string_view file,
                         const std::vector<RulesFault>& faults);

}  // namespace knapweed

#endif  // KNAPWEED_RULES_PARSE_RULES_H_
