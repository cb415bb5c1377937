#include "knapweed/rules/parse_rules.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "rule_line.h"

namespace knapweed {
namespace {

constexpr size_t kMaxNameBytes = 64;
constexpr size_t kMaxPathBytes = 256;
constexpr double kMaxRatePerS = 1e6;
constexpr double kMaxWeight = 1e6;
/// Rounding in binary can make shares such as 0.1 + 0.2 + 0.7 sum to slightly
/// more than 1.
constexpr double kShareSumTolerance = 1e-9;

bool IsNameChar(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::ranges::all_of(text, IsNameChar);
}

bool IsPath(std::string_view text) {
  if (!text.starts_with('/') || text.size() > kMaxPathBytes) return false;
  if (text.size() > 1 && text.ends_with('/')) return false;
  if (text.find("..") != std::string_view::npos) return false;
  if (text.find("//") != std::string_view::npos) return false;
  return std::ranges::all_of(text,
                             [](char c) { return IsNameChar(c) || c == '/'; });
}

/// Returns whether encoding the line as JSON and decoding it gives the same
/// bytes; if not, it is not valid UTF-8 and could not be stored.
bool RoundTripsThroughJson(std::string_view text) {
  using Json = nlohmann::json;
  const std::string stored =
      Json(text).dump(-1, ' ', false, Json::error_handler_t::ignore);
  const Json read = Json::parse(stored, nullptr, false);
  return read.is_string() && read.get_ref<const std::string&>() == text;
}

/// Returns the position of the first control character, 0 when the line is not
/// valid UTF-8, or npos.
size_t FindBadByte(std::string_view text) {
  bool ascii = true;
  for (size_t i = 0; i < text.size(); ++i) {
    const auto c = static_cast<unsigned char>(text[i]);
    if ((c < 0x20 && c != '\t' && c != '\r') || c == 0x7f) return i;
    ascii &= c < 0x80;
  }
  if (ascii || RoundTripsThroughJson(text)) return std::string_view::npos;
  return 0;
}

/// The line on which each name is first defined.
using DefinitionLines = std::map<std::string, int, std::less<>>;

/// A name in a rule and its position, for checks that need all rules.
struct NameRef {
  std::string name;
  int line = 0;
  int column = 0;
};

/// A route's reference to its pool; `kind` decides whether the pool must have
/// models.
struct PoolRef {
  NameRef ref;
  RouteKind kind = RouteKind::kModel;
};

/// Parses one rules file; `Parse` is called once.
class Parser {
 public:
  ParsedRules Parse(std::string_view text);

 private:
  void ReadLine(int number, std::string_view text);
  void ReadRoute(RuleLine& line);
  void ReadPool(RuleLine& line);
  void ReadWorkspace(RuleLine& line);
  void ReadBudget(RuleLine& line);
  void ReadDomain(RuleLine& line);
  std::string ReadName(RuleLine& line, std::string_view what,
                       DefinitionLines& definitions);
  void CheckRoute(RuleLine& line, const RouteRule& rule);
  /// Records the line that defines a name; adds a fault if it is a duplicate.
  void Define(RuleLine& line, const RuleWord& word,
              DefinitionLines& definitions);
  void CheckPools();
  void CheckBudgets();
  void CheckShares();
  void AddFault(const NameRef& ref, std::string message);

  ParsedRules result_;
  DefinitionLines routes_;
  DefinitionLines pools_;
  DefinitionLines workspaces_;
  DefinitionLines budgets_;
  DefinitionLines domains_;
  std::vector<PoolRef> pool_refs_;
  std::vector<NameRef> budget_refs_;
  std::vector<NameRef> domain_refs_;
};

ParsedRules Parser::Parse(std::string_view text) {
  if (text.size() > kMaxRulesBytes) {
    result_.faults.push_back(
        {1, 1,
         absl::StrCat("the file has ", text.size(), " bytes; the limit is ",
                      kMaxRulesBytes, " bytes")});
    return std::move(result_);
  }
  int number = 0;
  while (!text.empty()) {
    const size_t n = std::min(text.find('\n'), text.size());
    ReadLine(++number, text.substr(0, n));
    text.remove_prefix(std::min(n + 1, text.size()));
  }
  CheckPools();
  CheckBudgets();
  CheckShares();
  std::ranges::stable_sort(result_.faults, {}, [](const RulesFault& fault) {
    return std::pair(fault.line, fault.column);
  });
  SortRules(result_.rules);
  return std::move(result_);
}

void Parser::ReadLine(int number, std::string_view text) {
  struct Kind {
    std::string_view name;
    void (Parser::*read)(RuleLine&);
  };
  static constexpr Kind kKinds[] = {{"route", &Parser::ReadRoute},
                                    {"pool", &Parser::ReadPool},
                                    {"workspace", &Parser::ReadWorkspace},
                                    {"budget", &Parser::ReadBudget},
                                    {"domain", &Parser::ReadDomain}};
  const size_t bad_byte = FindBadByte(text);
  if (bad_byte != std::string_view::npos) {
    result_.faults.push_back(
        {number, static_cast<int>(bad_byte) + 1,
         "the line has a control character or invalid UTF-8"});
    return;
  }
  RuleLine line(number, text, result_.faults);
  if (line.empty()) return;
  line.CheckComment();
  const RuleWord& word = line.Kind();
  for (const Kind& kind : kKinds) {
    if (kind.name != word.text) continue;
    (this->*kind.read)(line);
    line.ReportUnusedWords();
    return;
  }
  line.AddFault(
      word.column,
      "'" + std::string(word.text) +
          "' is not a rule; expected route, pool, workspace, budget or "
          "domain");
}

std::string Parser::ReadName(RuleLine& line, std::string_view what,
                             DefinitionLines& definitions) {
  const RuleWord word = line.Name(what);
  if (word.text.empty()) return "";
  if (!IsName(word.text)) {
    line.AddFault(
        word.column,
        absl::StrCat("'", std::string(word.text), "' is not a name; use up to ",
                     kMaxNameBytes, " letters, digits, '.', '_' and '-'"));
    return "";
  }
  Define(line, word, definitions);
  return std::string(word.text);
}

void Parser::Define(RuleLine& line, const RuleWord& word,
                    DefinitionLines& definitions) {
  const auto [it, added] =
      definitions.try_emplace(std::string(word.text), line.number());
  if (added) return;
  line.AddFault(word.column,
                absl::StrCat("'", std::string(word.text),
                             "' is already defined on line ", it->second));
}

void Parser::ReadRoute(RuleLine& line) {
  RouteRule rule;
  const RuleWord path = line.Name("a path");
  if (!path.text.empty() && !IsPath(path.text)) {
    line.AddFault(path.column, "'" + std::string(path.text) +
                                   "' is not a path; it starts with '/', does "
                                   "not end in '/' and holds only letters, "
                                   "digits, '/', '.', '_' and '-'");
  } else if (!path.text.empty()) {
    Define(line, path, routes_);
  }
  rule.path = path.text;
  const std::optional<RuleWord> kind = line.Value("kind");
  if (kind && kind->text == "service") rule.kind = RouteKind::kService;
  if (kind && kind->text != "service" && kind->text != "model") {
    line.AddFault(kind->column, "kind is '" + std::string(kind->text) +
                                    "'; expected model or service");
  }
  const RuleWord pool = line.RequiredValue("pool");
  rule.pool = pool.text;
  rule.open = line.Flag("open");
  rule.non_idempotent = line.Flag("non_idempotent");
  CheckRoute(line, rule);
  if (!pool.text.empty())
    pool_refs_.push_back({{rule.pool, line.number(), pool.column}, rule.kind});
  result_.rules.routes.push_back(std::move(rule));
}

void Parser::CheckRoute(RuleLine& line, const RouteRule& rule) {
  const int column = line.Kind().column;
  if (rule.kind == RouteKind::kModel && rule.open) {
    line.AddFault(column,
                  "a model route can't be open: its programs belong to a "
                  "workspace");
  }
  if (rule.kind == RouteKind::kModel && rule.non_idempotent) {
    line.AddFault(
        column,
        "a model route can't be non_idempotent; mark the service that "
        "its tools call");
  }
  if (rule.open && rule.non_idempotent) {
    line.AddFault(column,
                  "an open route can't be non_idempotent: idempotency keys "
                  "belong to a workspace");
  }
}

void Parser::ReadPool(RuleLine& line) {
  PoolRule rule;
  rule.name = ReadName(line, "a pool name", pools_);
  rule.models = line.List("models");
  rule.checks_fencing = line.Flag("checks_fencing");
  result_.rules.pools.push_back(std::move(rule));
}

void Parser::ReadWorkspace(RuleLine& line) {
  WorkspaceRule rule;
  rule.id = WorkspaceId(ReadName(line, "a workspace name", workspaces_));
  const int column = line.Kind().column;
  rule.rate_per_s = line.Number("rate", 0);
  rule.burst = line.Number("burst", 0);
  rule.weight = line.Number("weight", 1);
  if (!(rule.rate_per_s > 0 && rule.rate_per_s <= kMaxRatePerS)) {
    line.AddFault(column,
                  absl::StrCat("a workspace needs rate=N calls per second, "
                               "over 0 and up to ",
                               kMaxRatePerS));
  }
  if (!(rule.burst >= 1 && rule.burst <= kMaxRatePerS)) {
    line.AddFault(
        column, absl::StrCat("a workspace needs burst=N calls, from 1 "
                             "to ",
                             kMaxRatePerS,
                             "; with less than 1, no call would be admitted"));
  }
  if (!(rule.weight > 0 && rule.weight <= kMaxWeight)) {
    line.AddFault(column,
                  absl::StrCat("weight must be over 0 and up to ", kMaxWeight));
  }
  result_.rules.workspaces.push_back(std::move(rule));
}

void Parser::ReadBudget(RuleLine& line) {
  BudgetRule rule;
  const RuleWord word = line.Name("a workspace name or '*'");
  if (!word.text.empty()) Define(line, word, budgets_);
  rule.workspace = WorkspaceId(word.text);
  rule.tokens = line.Count("tokens");
  rule.turns = line.Count("turns");
  rule.time = line.Duration("time");
  if (rule.tokens == 0 && rule.turns == 0 && rule.time == Ms{0}) {
    line.AddFault(line.Kind().column,
                  "a budget needs at least one of tokens=N, turns=N and "
                  "time=SPAN");
  }
  if (!word.text.empty() && word.text != "*")
    budget_refs_.push_back({rule.workspace.value, line.number(), word.column});
  result_.rules.budgets.push_back(std::move(rule));
}

void Parser::ReadDomain(RuleLine& line) {
  DomainRule rule;
  rule.id = FailureDomain(ReadName(line, "a failure domain", domains_));
  rule.share = line.Number("share", -1);
  if (!(rule.share >= 0 && rule.share <= 1)) {
    line.AddFault(
        line.Kind().column,
        "a domain needs share=N, from 0 to 1, of each rate and burst");
  }
  domain_refs_.push_back({rule.id.value, line.number(), line.Kind().column});
  result_.rules.domains.push_back(std::move(rule));
}

void Parser::CheckPools() {
  std::map<std::string, bool, std::less<>> has_models;
  for (const PoolRule& rule : result_.rules.pools)
    has_models[rule.name] = !rule.models.empty();
  for (const PoolRef& it : pool_refs_) {
    const auto pool = has_models.find(it.ref.name);
    if (pool == has_models.end()) {
      AddFault(it.ref, "there is no pool '" + it.ref.name + "'");
    } else if (it.kind == RouteKind::kModel && !pool->second) {
      AddFault(it.ref, "pool '" + it.ref.name +
                           "' has no models, but the route is a model route; "
                           "add models=NAME to the pool or kind=service here");
    } else if (it.kind == RouteKind::kService && pool->second) {
      AddFault(it.ref, "pool '" + it.ref.name +
                           "' has models, but the route is a service route");
    }
  }
}

void Parser::CheckBudgets() {
  for (const NameRef& ref : budget_refs_) {
    if (workspaces_.contains(ref.name)) continue;
    AddFault(ref, "there is no workspace '" + ref.name + "'");
  }
}

void Parser::CheckShares() {
  double sum = 0;
  for (size_t i = 0; i < result_.rules.domains.size(); ++i) {
    sum += std::max(0.0, result_.rules.domains[i].share);
    if (sum <= 1 + kShareSumTolerance) continue;
    AddFault(domain_refs_[i],
             absl::StrCat("the shares up to this line sum to ", sum,
                          "; the sum of all shares may be at most 1"));
    return;
  }
}

void Parser::AddFault(const NameRef& ref, std::string message) {
  result_.faults.push_back({ref.line, ref.column, std::move(message)});
}

}  // namespace

ParsedRules ParseRules(std::string_view text) { return Parser().Parse(text); }

std::string FormatFaults(std::string_view file,
                         const std::vector<RulesFault>& faults) {
  std::string text;
  for (const RulesFault& fault : faults) {
    absl::StrAppend(&text, std::string(file), ":", fault.line, ":",
                    fault.column, ": ", fault.message, "\n");
  }
  return text;
}

}  // namespace knapweed
