#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "standins/memory_store.h"

namespace knapweed {
namespace {

using absl::StatusCode;

Transaction WriteRow(const std::string& key, const std::string& value) {
  return {{}, {{key, value}}};
}

TEST_CASE("a commit applies all of its writes or none") {
  struct RowCase {
    const char* name;
    Transaction transaction;
    StatusCode code;
    uint64_t a_version;
    uint64_t b_version;
  };
  // Row "a" is at version 2 and "b" does not exist.
  const std::vector<RowCase> rows = {
      {"unconditional", WriteRow("a", "z"), StatusCode::kOk, 3, 0},
      {"condition holds",
       {{{"a", 2}}, {{"a", "z"}, {"b", "y"}}},
       StatusCode::kOk,
       3,
       1},
      {"old version",
       {{{"a", 1}}, {{"a", "z"}, {"b", "y"}}},
       StatusCode::kAborted,
       2,
       0},
      {"absent as wanted", {{{"b", 0}}, {{"b", "y"}}}, StatusCode::kOk, 2, 1},
      {"present against the condition",
       {{{"a", 0}}, {{"b", "y"}}},
       StatusCode::kAborted,
       2,
       0},
      {"one of two conditions fails",
       {{{"a", 2}, {"b", 4}}, {{"a", "z"}}},
       StatusCode::kAborted,
       2,
       0},
      {"deletion", {{{"a", 2}}, {{"a", std::nullopt}}}, StatusCode::kOk, 0, 0},
  };
  for (const RowCase& row : rows) {
    CAPTURE(row.name);
    const MemoryStore store;
    const TableService table = store.Table();
    REQUIRE(table.commit(WriteRow("a", "1")).ok());
    REQUIRE(table.commit(WriteRow("a", "2")).ok());
    CHECK(table.commit(row.transaction).code() == row.code);
    const auto version = [&](const char* key) {
      const auto found = table.get(key);
      return found.ok() ? found->version : 0;
    };
    CHECK(version("a") == row.a_version);
    CHECK(version("b") == row.b_version);
  }
}

TEST_CASE("each fault of the store shows as its status and its effect") {
  struct FaultCase {
    const char* name;
    StoreFaults faults;
    StatusCode first;
    StatusCode second;
    uint64_t version;
  };
  const std::vector<FaultCase> rows = {
      {"none", {}, StatusCode::kOk, StatusCode::kOk, 2},
      {"outage",
       {.outage = true},
       StatusCode::kUnavailable,
       StatusCode::kUnavailable,
       0},
      {"answer lost",
       {.lose_commit_answers = 1},
       StatusCode::kUnknown,
       StatusCode::kOk,
       2},
      {"request lost",
       {.lose_commits = 1},
       StatusCode::kUnknown,
       StatusCode::kOk,
       1},
      {"refused",
       {.fail_commits = 1},
       StatusCode::kUnavailable,
       StatusCode::kOk,
       1},
      {"other rows only",
       {.fail_commits = 1, .commit_key_prefix = "b/"},
       StatusCode::kOk,
       StatusCode::kOk,
       2},
  };
  for (const FaultCase& row : rows) {
    CAPTURE(row.name);
    MemoryStore store;
    const TableService table = store.Table();
    store.SetFaults(row.faults);
    CHECK(table.commit(WriteRow("a/1", "x")).code() == row.first);
    CHECK(table.commit(WriteRow("a/1", "x")).code() == row.second);
    CHECK(store.Counts().commits == 2);
    store.SetFaults({});
    const auto found = table.scan("a/");
    REQUIRE(found.ok());
    CHECK((found->empty() ? 0 : found->front().version) == row.version);
  }
}

}  // namespace
}  // namespace knapweed
