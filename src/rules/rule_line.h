#ifndef KNAPWEED_SRC_RULES_RULE_LINE_H_
#define KNAPWEED_SRC_RULES_RULE_LINE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "knapweed/base/clock.h"
#include "knapweed/rules/parse_rules.h"

namespace knapweed {

/// A word of a rule and the column where it starts.
struct RuleWord {
  std::string_view text;
  int column = 0;
  bool used = false;
};

/// One rule of a rules file, read word by word; what is wrong goes into the
/// list of faults. After the last read, `Finish` reports what nobody asked for.
class RuleLine {
 public:
  /// Splits a line at its comment and its blanks.
  RuleLine(int number, std::string_view line, std::vector<RulesFault>& faults);

  /// No rule on this line: it is blank or a comment alone.
  bool empty() const { return words_.empty(); }
  int number() const { return number_; }
  /// The rule's first word.
  const RuleWord& Kind();
  /// Reports a comment that is missing or does not read `# who: why`.
  void CheckComment();

  /// The word after the rule's kind; `what` names it in the fault.
  RuleWord Name(std::string_view what);
  bool Flag(std::string_view name);
  std::optional<RuleWord> Value(std::string_view key);
  /// A value that must be there.
  RuleWord RequiredValue(std::string_view key);
  double Number(std::string_view key, double fallback);
  uint64_t Count(std::string_view key);
  Ms Duration(std::string_view key);
  std::vector<std::string> List(std::string_view key);

  void AddFault(int column, std::string message);
  void ReportUnusedWords();

 private:
  void Split(std::string_view text);

  int number_;
  int end_column_;
  std::optional<RuleWord> comment_;
  std::vector<RuleWord> words_;
  std::vector<RulesFault>& faults_;
};

}  // namespace knapweed

#endif  // KNAPWEED_SRC_RULES_RULE_LINE_H_
