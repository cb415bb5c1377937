// End-to-end tests of callers' keys.
#include <doctest/doctest.h>

#include "tests/platform/world.h"

namespace knapweed::testing {
namespace {

// Guards against a key check that is skipped because a table is empty: taking
// away the last key must not open the system to everybody.
TEST_CASE("a route that is not public needs a key whatever keys there are") {
  using nlohmann::json;
  struct Row {
    const char* what;
    // The field of the configuration; absent if discarded.
    json tenants;
    // Statuses of calls with a key of the first configuration, another one, an
    // empty and none.
    int with_old;
    int with_other;
    int with_empty;
    int without;
  };
  const json none = json::array();
  const Row rows[] = {
      {"a key",
       {{{"name", "ws1"}, {"api_keys", {"key1"}}}},
       200,
       401,
       401,
       401},
      {"no key of two workspaces",
       {{{"name", "ws1"}, {"api_keys", none}},
        {{"name", "ws2"}, {"api_keys", none}}},
       401,
       401,
       401,
       401},
      {"no list of keys", {{{"name", "ws1"}}}, 401, 401, 401, 401},
      {"an empty key",
       {{{"name", "ws1"}, {"api_keys", {""}}}},
       401,
       401,
       401,
       401},
      {"no workspace", none, 401, 401, 401, 401},
      // Such a configuration is not taken, so the one before stays in force.
      {"no list of workspaces", json::object(), 200, 401, 401, 401},
      {"keys are not used", json(json::value_t::discarded), 200, 200, 200, 200},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    TestCluster cluster;
    cluster.Configure([&](json& config) {
      config["routes"][3]["public"] = false;
      json open = config["routes"][3];
      open["name"] = "open";
      open["prefix"] = "/open/";
      open["public"] = true;
      config["routes"].push_back(open);
      if (row.tenants.is_discarded()) {
        config.erase("tenants");
      } else {
        config["tenants"] = row.tenants;
      }
    });
    cluster.RunFor(Ms{300});
    const auto status = [&](const char* path, const char* key) {
      CallerRequest call = PlainCall(path);
      call.headers["Key"] = key;
      return cluster.Call(call).status;
    };
    for (const char* path : {"/safe/x", "/once/x", "/turn/x"}) {
      CHECK(status(path, "key1") == row.with_old);
      CHECK(status(path, "key-other") == row.with_other);
      CHECK(status(path, "") == row.with_empty);
      const std::string text = std::string("GET ") + path +
                               " HTTP/1.1\r\nHost: " + kHost +
                               "\r\nRequest-Id: n\r\n"
                               "Connection: close\r\n\r\n";
      const std::string response = cluster.SendRaw(text);
      CHECK(response.starts_with("HTTP/1.1 " + std::to_string(row.without)));
    }
    if (!row.tenants.is_object()) CHECK(status("/open/x", "") == 200);
  }
}

}  // namespace
}  // namespace knapweed::testing
