#include "tests/process/invariant_checker.h"

#include <doctest/doctest.h>

namespace knapweed {
namespace {

using nlohmann::json;

json Chat(const char* program, int started_ms, json prefixes, const char* after,
          const char* state = "done") {
  const json digest = prefixes.back();
  const size_t n = prefixes.size();
  return {{"kind", "chat"},
          {"state", state},
          {"workspace", "w"},
          {"program", program},
          {"started_ms", started_ms},
          {"messages", n},
          {"digest", digest},
          {"prefixes", std::move(prefixes)},
          {"after", after}};
}

json ServiceCall(const char* reference, bool ran) {
  return {{"kind", "service"}, {"reference", reference}, {"ran", ran}};
}

json WithHeader(const char* name, const char* value) {
  const json header = json::array({name, value});
  return {{"kind", "order"}, {"headers", json::array({header})}};
}

TEST_CASE("FindViolations reports each kind of violation") {
  struct RecordCase {
    std::string name;
    json engine;
    json service;
    size_t violations;
  };
  const json first = Chat("p", 1, {"a"}, "A");
  const json second = Chat("p", 2, {"a", "A", "b"}, "B");
  const json keyed = WithHeader("X-Other", "so kw_1_secret it is");
  const json authorized = WithHeader("authorization", "x");
  const std::vector<RecordCase> rows = {
      {"in order",
       {first, second},
       {ServiceCall("r", true), ServiceCall("r", false)},
       0},
      {"the same turn twice", {first, first, second}, json::array(), 0},
      {"a crashed turn does not count",
       {first, Chat("p", 2, {"x"}, "X", "crashed")},
       json::array(),
       0},
      {"history lost", {first, Chat("p", 2, {"b"}, "B")}, json::array(), 1},
      {"out of order", {Chat("p", 3, {"a"}, "A"), second}, json::array(), 1},
      {"mixed programs",
       {first, Chat("q", 2, {"a", "A", "c"}, "C")},
       json::array(),
       1},
      {"ran twice",
       json::array(),
       {ServiceCall("r", true), ServiceCall("r", true)},
       1},
      {"ran though answered not run",
       json::array(),
       {ServiceCall("refused", true)},
       1},
      {"a key in a header", {keyed}, json::array(), 1},
      {"an authorization header", {authorized}, json::array(), 1},
  };
  for (const RecordCase& row : rows) {
    CAPTURE(row.name);
    FleetRecords records;
    records.engines = {row.engine};
    records.services = {row.service};
    records.keys = {"kw_1_secret"};
    records.not_run = {"refused"};
    const std::vector<std::string> violations_found = FindViolations(records);
    CAPTURE(json(violations_found).dump());
    CHECK(violations_found.size() == row.violations);
  }
}

}  // namespace
}  // namespace knapweed
