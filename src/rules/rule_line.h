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

/// A word of a rule, the column where it starts, and whether it has been read.
struct RuleWord {
  std::string_view text;
  int column = 0;
  bool used = false;
};

/// One line of a rules file, split into words. The accessors mark the words
/// that they read and add faults to the list given at construction;
/// `ReportUnusedWords` then reports the words that none of them read.
class RuleLine {
 public:
  /// Splits the line into words and its comment. `line` and `faults` must
  /// outlive this object.
  RuleLine(int number, std::string_view line, std::vector<RulesFault>& faults);

  /// Returns whether the line has no rule: it is blank or only a comment.
  bool empty() const { return words_.empty(); }
  int number() const { return number_; }
  /// Returns the rule's first word.
  const RuleWord& Kind();
  /// Adds a fault when the comment is missing or not of the form `# who: why`.
  void CheckComment();

  /// Returns the word after the rule's kind. When it is missing, adds a fault
  /// that calls it `what`, and returns an empty word.
  RuleWord Name(std::string_view what);
  /// Returns whether the word `name` is present.
  bool Flag(std::string_view name);
  /// Returns the value of KEY=VALUE, if present.
  std::optional<RuleWord> Value(std::string_view key);
  /// Like `Value`, but adds a fault when it is missing or empty.
  RuleWord RequiredValue(std::string_view key);
  /// The following return the value of KEY=VALUE in the type they name, and the
  /// fallback, zero or an empty list when it is missing. An invalid value adds
  /// a fault. A count and a duration must be above zero.
  double Number(std::string_view key, double fallback);
  uint64_t Count(std::string_view key);
  Ms Duration(std::string_view key);
  /// Names separated by commas.
  std::vector<std::string> List(std::string_view key);

  void AddFault(int column, std::string message);
  /// Adds a fault for each word that was not read: unknown or given twice.
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
