#include "rule_line.h"

#include <cmath>

#include "absl/strings/ascii.h"
#include "absl/strings/str_split.h"
#include "knapweed/base/parse.h"

namespace knapweed {
namespace {

constexpr std::string_view kWhitespace = " \t\r";

bool IsBlank(std::string_view text) {
  return text.find_first_not_of(kWhitespace) == std::string_view::npos;
}

std::string Quote(std::string_view text) {
  return "'" + std::string(text) + "'";
}

}  // namespace

RuleLine::RuleLine(int number, std::string_view line,
                   std::vector<RulesFault>& faults)
    : number_(number), faults_(faults) {
  const size_t hash = line.find('#');
  const std::string_view rule = line.substr(0, hash);
  end_column_ = static_cast<int>(rule.size()) + 1;
  if (hash != std::string_view::npos)
    comment_ = RuleWord{line.substr(hash + 1), end_column_, false};
  Split(rule);
}

void RuleLine::Split(std::string_view text) {
  size_t at = text.find_first_not_of(kWhitespace);
  while (at != std::string_view::npos) {
    const size_t end =
        std::min(text.find_first_of(kWhitespace, at), text.size());
    words_.push_back({text.substr(at, end - at), static_cast<int>(at) + 1});
    at = text.find_first_not_of(kWhitespace, end);
  }
}

const RuleWord& RuleLine::Kind() {
  words_.front().used = true;
  return words_.front();
}

void RuleLine::CheckComment() {
  if (!comment_) {
    AddFault(end_column_,
             "the rule has no comment; end it with '# who asked: why'");
    return;
  }
  const size_t colon = comment_->text.find(':');
  const bool complete = colon != std::string_view::npos &&
                        !IsBlank(comment_->text.substr(0, colon)) &&
                        !IsBlank(comment_->text.substr(colon + 1));
  if (!complete) {
    AddFault(comment_->column,
             "the comment does not say who asked and why; write "
             "'# who asked: why'");
  }
}

RuleWord RuleLine::Name(std::string_view what) {
  if (words_.size() > 1 && words_[1].text.find('=') == std::string_view::npos) {
    words_[1].used = true;
    return words_[1];
  }
  const int column = words_.size() > 1 ? words_[1].column : end_column_;
  AddFault(column, "expected " + std::string(what) + " after " +
                       Quote(words_.front().text));
  return {};
}

bool RuleLine::Flag(std::string_view name) {
  for (RuleWord& word : words_) {
    if (word.used || word.text != name) continue;
    word.used = true;
    return true;
  }
  return false;
}

std::optional<RuleWord> RuleLine::Value(std::string_view key) {
  for (RuleWord& word : words_) {
    const size_t equals = word.text.find('=');
    if (word.used || equals == std::string_view::npos) continue;
    if (word.text.substr(0, equals) != key) continue;
    word.used = true;
    const int column = word.column + static_cast<int>(equals) + 1;
    return RuleWord{word.text.substr(equals + 1), column};
  }
  return std::nullopt;
}

RuleWord RuleLine::RequiredValue(std::string_view key) {
  const std::optional<RuleWord> value = Value(key);
  if (value && !value->text.empty()) return *value;
  const int column = value ? value->column : end_column_;
  AddFault(column, "the rule needs " + std::string(key) + "=VALUE");
  return {};
}

double RuleLine::Number(std::string_view key, double fallback) {
  const std::optional<RuleWord> value = Value(key);
  if (!value) return fallback;
  double n = 0;
  if (ParseNumber(value->text, &n) && std::isfinite(n)) return n;
  AddFault(value->column, std::string(key) + " is " + Quote(value->text) +
                              "; expected a number such as 2.5");
  return fallback;
}

uint64_t RuleLine::Count(std::string_view key) {
  const std::optional<RuleWord> value = Value(key);
  if (!value) return 0;
  uint64_t n = 0;
  if (ParseNumber(value->text, &n) && n > 0) return n;
  AddFault(value->column, std::string(key) + " is " + Quote(value->text) +
                              "; expected a whole number, at least 1");
  return 0;
}

Ms RuleLine::Duration(std::string_view key) {
  const std::optional<RuleWord> value = Value(key);
  Ms duration;
  if (!value) return duration;
  if (ParseSpan(value->text, &duration) && duration > Ms{0}) return duration;
  AddFault(value->column,
           std::string(key) + " is " + Quote(value->text) +
               "; expected a number with its unit: ms, s, m or h, "
               "such as 30m");
  return duration;
}

std::vector<std::string> RuleLine::List(std::string_view key) {
  const std::optional<RuleWord> value = Value(key);
  if (!value) return {};
  const absl::string_view text(value->text.data(), value->text.size());
  std::vector<std::string> words = absl::StrSplit(text, ',');
  for (const std::string& word : words) {
    if (!word.empty()) continue;
    AddFault(value->column, std::string(key) + " is " + Quote(value->text) +
                                "; expected names separated by single commas");
    return {};
  }
  return words;
}

void RuleLine::AddFault(int column, std::string message) {
  faults_.push_back({number_, column, std::move(message)});
}

void RuleLine::ReportUnusedWords() {
  for (size_t i = 0; i < words_.size(); ++i) {
    if (words_[i].used) continue;
    const std::string_view key =
        words_[i].text.substr(0, words_[i].text.find('='));
    bool duplicate = false;
    for (size_t j = 0; j < i; ++j) {
      const std::string_view other = words_[j].text;
      duplicate |= words_[j].used && other.substr(0, other.find('=')) == key;
    }
    AddFault(words_[i].column,
             Quote(words_[i].text) + (duplicate ? " is given twice"
                                                : " is not a key or flag of " +
                                                      Quote(words_[0].text)));
  }
}

}  // namespace knapweed
