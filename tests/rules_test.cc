#include "knapweed/rules/rules.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "knapweed/rules/keys.h"
#include "knapweed/rules/parse_rules.h"

namespace knapweed {
namespace {

constexpr std::string_view kValidRules = R"(
# Agents of the day teams.
route /v1/chat/completions pool=chat  # Sato: agents of both day teams
route /book pool=booking kind=service non_idempotent  # Sato: shift bookings
route /catalogue pool=parts kind=service open  # Marjeta: dealers browse
pool chat models=small,large checks_fencing  # Sato: the model servers
pool booking  # Sato: the booking servers
pool parts  # Marjeta: the parts desk
workspace cannery rate=20 burst=40 weight=2  # Sato: Otaru cannery
workspace farms rate=2.5 burst=5  # Sato: small farms
budget * tokens=300000 turns=350 time=24h  # Sato: nobody needs more
budget cannery turns=50  # Kondo: looping agents
domain a share=0.5  # Kondo: most foremen
domain b share=0.5  # Kondo: the rest
)";

TEST_CASE("ParseRules reads every kind of rule") {
  const ParsedRules parsed = ParseRules(kValidRules);
  CAPTURE(FormatFaults("f", parsed.faults));
  REQUIRE(parsed.ok());
  const Rules& rules = parsed.rules;
  REQUIRE(FindRoute(rules, "/book") != nullptr);
  CHECK(FindRoute(rules, "/book")->non_idempotent);
  CHECK(FindRoute(rules, "/book")->kind == RouteKind::kService);
  CHECK(FindRoute(rules, "/catalogue")->open);
  CHECK(FindRoute(rules, "/book/1") == nullptr);
  CHECK(FindPool(rules, "chat")->models ==
        std::vector<std::string>{"small", "large"});
  CHECK(FindPool(rules, "chat")->checks_fencing);
  CHECK(FindWorkspace(rules, WorkspaceId("farms"))->rate_per_s == 2.5);
  CHECK(FindWorkspace(rules, WorkspaceId("farms"))->weight == 1);
  CHECK(FindBudget(rules, WorkspaceId("farms"))->turns == 350);
  CHECK(FindBudget(rules, WorkspaceId("cannery"))->turns == 50);
  CHECK(FindBudget(rules, WorkspaceId("farms"))->time == Seconds(86400));
  CHECK(FindDomain(rules, FailureDomain("a"))->share == 0.5);
}

TEST_CASE("each fault of a rules file has its line, column and message") {
  struct Row {
    std::string text;
    std::string fault;
  };
  const std::vector<Row> rows = {
      {"pool p", "1:7: the rule has no comment"},
      {"pool p #", "1:8: the comment does not say who"},
      {"pool p # Sato", "1:8: the comment does not say who"},
      {"pool p # Sato: ", "1:8: the comment does not say who"},
      {"\n\npol p # S: w", "3:1: 'pol' is not a rule"},
      {"pool # S: w", "1:6: expected a pool name"},
      {"pool models=x # S: w", "1:6: expected a pool name"},
      {"pool p models=a,,b # S: w", "1:15: models is 'a,,b'"},
      {"pool p!x # S: w", "1:6: 'p!x' is not a name"},
      {"pool p fast # S: w", "1:8: 'fast' is not a key or flag of 'pool'"},
      {"pool p models=a models=b # S: w", "1:17: 'models=b' is given twice"},
      {"pool p # S: w\npool p # S: w", "2:6: 'p' is already defined on line 1"},
      {"route book pool=p # S: w", "1:7: 'book' is not a path"},
      {"route /a/../b pool=p # S: w", "1:7: '/a/../b' is not a path"},
      {"route /a pool=p # S: w", "1:15: there is no pool 'p'"},
      {"route /a # S: w", "1:10: the rule needs pool=VALUE"},
      {"route /a pool=p kind=x # S: w", "1:22: kind is 'x'"},
      {"route /a pool=p # S: w\npool p # S: w", "1:15: pool 'p' has no models"},
      {"route /a pool=p kind=service # S: w\npool p models=m # S: w",
       "1:15: pool 'p' has models"},
      {"route /a pool=p open # S: w\npool p models=m # S: w",
       "1:1: a model route can't be open"},
      {"route /a pool=p non_idempotent # S: w\npool p models=m # S: w",
       "1:1: a model route can't be non_idempotent"},
      {"route /a pool=p kind=service open non_idempotent # S: w\npool p # S: w",
       "1:1: an open route can't be non_idempotent"},
      {"workspace w rate=1 # S: w", "1:1: a workspace needs burst=N"},
      {"workspace w rate=1 burst=0.5 # S: w", "1:1: a workspace needs burst"},
      {"workspace w rate=0 burst=1 # S: w", "1:1: a workspace needs rate=N"},
      {"workspace w rate=nan burst=1 # S: w", "1:18: rate is 'nan'"},
      {"workspace w rate=2x burst=1 # S: w", "1:18: rate is '2x'"},
      {"workspace w rate=1 burst=1 weight=0 # S: w", "1:1: weight must be"},
      {"budget w turns=5 # S: w", "1:8: there is no workspace 'w'"},
      {"budget * # S: w", "1:1: a budget needs at least one"},
      {"budget * turns=0 # S: w", "1:16: turns is '0'"},
      {"budget * time=5 # S: w", "1:15: time is '5'"},
      {"domain a share=2 # S: w", "1:1: a domain needs share=N"},
      {"domain a share=0.6 # S: w\ndomain b share=0.5 # S: w",
       "2:1: the shares up to this line sum to 1.1"},
      {"pool p # S\x01: w", "1:11: the line has a control character"},
      {"pool p # S\xff: w", "1:1: the line has a control character"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.text);
    const std::string text = FormatFaults("f", ParseRules(row.text).faults);
    CAPTURE(text);
    CHECK(text.find("f:" + row.fault) != std::string::npos);
  }
}

TEST_CASE("all faults of a file are reported, sorted by line") {
  const ParsedRules parsed = ParseRules(
      "route /a pool=none # S: w\npool p\nworkspace w burst=0 # S\n");
  std::vector<int> lines;
  for (const RulesFault& fault : parsed.faults) lines.push_back(fault.line);
  CHECK(lines == std::vector<int>{1, 2, 3, 3, 3});
}

TEST_CASE("FindKey accepts only a complete, valid key of a known workspace") {
  Rules rules = ParseRules(kValidRules).rules;
  const IssuedKey key = MakeKey(WorkspaceId("cannery"));
  const IssuedKey other = MakeKey(WorkspaceId("farms"));
  IssuedKey withdrawn = MakeKey(WorkspaceId("farms"));
  withdrawn.record.withdrawn = true;
  const IssuedKey orphan = MakeKey(WorkspaceId("gone"));
  rules.keys = {key.record, other.record, withdrawn.record, orphan.record};
  SortRules(rules);
  const std::string secret(SplitKey(key.text).secret);
  struct Row {
    std::string text;
    std::string id;
  };
  const std::vector<Row> rows = {
      {key.text, key.record.id},
      {other.text, other.record.id},
      {withdrawn.text, ""},
      {orphan.text, ""},
      {"", ""},
      {"kw_", ""},
      {"kw__" + secret, ""},
      {"kw_" + key.record.id, ""},
      {"kw_" + key.record.id + "_", ""},
      {"kw_" + other.record.id + "_" + secret, ""},
      {key.text + "0", ""},
      {key.text.substr(0, key.text.size() - 1), ""},
      {"kw_" + key.record.id + "_" + key.record.digest, ""},
  };
  for (const Row& row : rows) {
    CAPTURE(row.text);
    const KeyRecord* found = FindKey(rules, row.text);
    CHECK((found == nullptr ? "" : found->id) == row.id);
  }
  CHECK(key.record.digest.find(secret) == std::string::npos);
}

}  // namespace
}  // namespace knapweed
