#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "knapweed/http/client.h"
#include "knapweed/platform/vm_list.h"
#include "standins/free_port.h"
#include "standins/memory_store.h"
#include "standins/platform_server.h"

namespace knapweed {
namespace {

using absl::StatusCode;
using nlohmann::json;

Transaction WriteRow(const std::string& key, const std::string& value) {
  return {{}, {{key, value}}};
}

TEST_CASE("a commit applies all of its writes or none") {
  struct RowCase {
    std::string name;
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
      {"absent as required", {{{"b", 0}}, {{"b", "y"}}}, StatusCode::kOk, 2, 1},
      {"present though required absent",
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

// Clients of a fake store, which is accessed in memory or over HTTP, and the
// control of its faults.
struct StoreUnderTest {
  TableService table;
  ObjectStore objects;
  std::function<void(const json& faults)> set_faults;
  std::unique_ptr<HttpServer> server;
};

constexpr Ms kTimeout{300};

StoreUnderTest MakeStore(bool over_http) {
  StoreUnderTest store;
  if (!over_http) {
    MemoryStore memory;
    store.table = memory.Table();
    store.objects = memory.Objects();
    store.set_faults = [memory](const json& faults) mutable {
      StoreFaults parsed;
      REQUIRE(MergeFields(faults, &parsed).ok());
      memory.SetFaults(parsed);
    };
    return store;
  }
  const Address listen = FreeLoopbackAddress();
  const Standin standin = MakePlatformStandin();
  auto server = ServeStandin(listen, standin);
  REQUIRE(server.ok());
  store.server = *std::move(server);
  store.table = ConnectTableService(listen, kTimeout);
  store.objects = ConnectObjectStore(listen, kTimeout);
  store.set_faults = [standin](const json& faults) {
    json all = StoreFaults{};
    all.update(faults);
    REQUIRE(standin.control(all).ok());
  };
  return store;
}

TEST_CASE("each store fault has its status code and its effect on the row") {
  struct FaultCase {
    std::string name;
    json faults;
    StatusCode first;
    StatusCode second;
    uint64_t version;
  };
  const std::vector<FaultCase> rows = {
      {"none", json::object(), StatusCode::kOk, StatusCode::kOk, 2},
      {"outage",
       {{"outage", true}},
       StatusCode::kUnavailable,
       StatusCode::kUnavailable,
       0},
      {"response lost",
       {{"lose_commit_answers", 1}},
       StatusCode::kUnknown,
       StatusCode::kOk,
       2},
      {"request lost",
       {{"lose_commits", 1}},
       StatusCode::kUnknown,
       StatusCode::kOk,
       1},
      {"refused",
       {{"fail_commits", 1}},
       StatusCode::kUnavailable,
       StatusCode::kOk,
       1},
      {"fault limited to other rows",
       {{"fail_commits", 1}, {"commit_key_prefix", "b/"}},
       StatusCode::kOk,
       StatusCode::kOk,
       2},
  };
  for (const bool over_http : {false, true}) {
    const StoreUnderTest store = MakeStore(over_http);
    for (const FaultCase& row : rows) {
      CAPTURE(row.name);
      CAPTURE(over_http);
      const std::string key = std::string("a/") + row.name;
      store.set_faults(row.faults);
      CHECK(store.table.commit(WriteRow(key, "x")).code() == row.first);
      CHECK(store.table.commit(WriteRow(key, "x")).code() == row.second);
      store.set_faults(json::object());
      const auto found = store.table.scan(key);
      REQUIRE(found.ok());
      CHECK((found->empty() ? 0 : found->front().version) == row.version);
    }
  }
}

TEST_CASE("rows and objects are unchanged by a round trip over HTTP") {
  const StoreUnderTest store = MakeStore(true);
  const std::vector<std::string> names = {"plain", "a/b/c", "a..b/.c",
                                          "é ?&=#%+"};
  for (const std::string& name : names) {
    CAPTURE(name);
    CHECK(store.table.get(name).status().code() == StatusCode::kNotFound);
    REQUIRE(store.table.commit(WriteRow(name, "v" + name)).ok());
    const auto row = store.table.get(name);
    REQUIRE(row.ok());
    CHECK(row->key == name);
    CHECK(row->value == "v" + name);
    CHECK(row->version == 1);

    const std::string bytes = name + std::string("\0\xff\n", 3);
    CHECK(store.objects.get(name).status().code() == StatusCode::kNotFound);
    REQUIRE(store.objects.put(name, bytes).ok());
    const auto object = store.objects.get(name);
    REQUIRE(object.ok());
    CHECK(*object == bytes);
    const auto listed = store.objects.list(name);
    REQUIRE(listed.ok());
    CHECK(*listed == std::vector<std::string>{name});
    CHECK(store.objects.remove(name).ok());
    CHECK(store.objects.remove(name).code() == StatusCode::kNotFound);
  }
}

TEST_CASE("invalid names and values are rejected in memory and over HTTP") {
  for (const bool over_http : {false, true}) {
    CAPTURE(over_http);
    const StoreUnderTest store = MakeStore(over_http);
    CHECK(store.table.commit(WriteRow("k", "\xff")).code() ==
          StatusCode::kInvalidArgument);
    for (const std::string name :
         {"", "/a", "a/", "a//b", "../a", "a/./b", "a\\b", "a\nb"}) {
      CAPTURE(name);
      CHECK(store.objects.put(name, "x").code() ==
            StatusCode::kInvalidArgument);
    }
  }
}

TEST_CASE("a slow store and an unreachable one return different status codes") {
  struct SlowCase {
    std::string name;
    bool absent;
    StatusCode read;
    StatusCode write;
  };
  const std::vector<SlowCase> rows = {
      {"slower than the timeout", false, StatusCode::kDeadlineExceeded,
       StatusCode::kDeadlineExceeded},
      {"unreachable", true, StatusCode::kUnavailable, StatusCode::kUnavailable},
  };
  for (const SlowCase& row : rows) {
    CAPTURE(row.name);
    StoreUnderTest store = MakeStore(true);
    store.set_faults({{"latency", 2 * kTimeout.count}});
    if (row.absent) store.server.reset();
    CHECK(store.table.get("k").status().code() == row.read);
    CHECK(store.table.scan("k").status().code() == row.read);
    CHECK(store.objects.get("k").status().code() == row.read);
    CHECK(store.objects.list("k").status().code() == row.read);
    CHECK(store.table.commit(WriteRow("k", "v")).code() == row.write);
    CHECK(store.objects.put("k", "v").code() == row.write);
  }
}

TEST_CASE("the VM list shows a change only after its delay") {
  const Address listen = FreeLoopbackAddress();
  const Standin standin = MakePlatformStandin();
  const auto server = ServeStandin(listen, standin);
  REQUIRE(server.ok());
  HttpClient client(listen);
  const VmList list = ConnectVmList(listen, kTimeout);
  const std::string body =
      R"({"vms":[{"name":"a","address":"127.0.0.1","leaving":true}]})";
  REQUIRE(standin.control({{"vm_list_lag", 600000}}).ok());
  REQUIRE(client.Call({"POST", "/vms", "", {}, body}).ok());
  const auto early = list.read();
  REQUIRE(early.ok());
  CHECK(early->empty());
  REQUIRE(standin.control({{"vm_list_lag", 0}}).ok());
  const auto late = list.read();
  REQUIRE(late.ok());
  REQUIRE(late->size() == 1);
  CHECK(late->front().name == "a");
  CHECK(late->front().leaving);
}

}  // namespace
}  // namespace knapweed
