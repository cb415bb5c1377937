// Tests of how a gateway reads the limit that an upstream states in its
// responses.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "tests/platform/world.h"

namespace knapweed::testing {
namespace {

// Returns what the gateway's state tells of the upstream.
nlohmann::json StateOf(TestCluster& cluster, const FakeServer& server) {
  const std::string text = cluster.Get(cluster.configs[0].metrics, "/state");
  return nlohmann::json::parse(text)["upstreams"][server.id()];
}

TEST_CASE("a limit is read as a number of requests per second") {
  struct Row {
    const char* text;
    std::optional<double> per_s;
  };
  const Row rows[] = {
      {"", std::nullopt},    {"4.8", 4.8},
      {"120", 120.0},        {"0", 0.0},
      {"-1", std::nullopt},  {"nan", std::nullopt},
      {"inf", std::nullopt}, {"4.8/s", std::nullopt},
  };
  for (const Row& row : rows) {
    const std::string text = row.text;
    CAPTURE(text);
    gateway::http::response_header<> header;
    if (!text.empty()) header.set("Server-Limit", text);
    const gateway::ResponseHead head = users_platform::DecodeResponse(header);
    CHECK(head.limit_per_s == row.per_s);
  }
}

TEST_CASE("the state shows the limit for as long as the upstream states it") {
  using Kind = Script::Kind;
  struct Row {
    const char* what;
    const char* path;
    Kind kind;
  };
  const Row rows[] = {
      {"success", "/safe/x", Kind::kPlain},
      {"failure", "/once/x", Kind::kError},
      {"refusal", "/once/x", Kind::kFull},
      {"stream", "/turn/x", Kind::kEvents},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    TestCluster cluster(1, 1);
    FakeServer& server =
        row.kind == Kind::kEvents ? *cluster.engines[0] : *cluster.plain[0];
    server.default_script.kind = row.kind;
    CHECK(StateOf(cluster, server)["limit_per_s"].is_null());
    server.limit_per_s = "4.5";
    cluster.Call(PlainCall(row.path, "a"));
    CHECK(StateOf(cluster, server)["limit_per_s"] == 4.5);
    server.limit_per_s = "9";
    cluster.RunFor(Ms{100});
    cluster.Call(PlainCall(row.path, "b"));
    CHECK(StateOf(cluster, server)["limit_per_s"] == 9);
    CHECK(StateOf(cluster, server)["sent_under_limit"] == 1);
    server.limit_per_s.clear();
    if (row.kind == Kind::kFull) continue;
    cluster.RunFor(Ms{300});
    cluster.Call(PlainCall(row.path, "c"));
    CHECK(StateOf(cluster, server)["limit_per_s"].is_null());
  }
}

}  // namespace
}  // namespace knapweed::testing
