// Odd rows and messages of other writers. None may end the gateway, stop it
// from following a table, or keep others from being served.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "tests/platform/odd_inputs.h"

namespace knapweed::testing {
namespace {

struct OddTable {
  std::string table;
  std::string part;
  Fields fields;
};

// Guards against rows that end every gateway that reads them, or stop it from
// following the table.
TEST_CASE("rows of other writers harm no gateway") {
  const OddTable tables[] = {
      {"servers",
       "",
       {{"service", "\"plain\""},
        {"address", "\"127.0.0.1:9\""},
        {"zone", "\"a\""},
        {"version", "\"v1\""},
        {"slots", "4"},
        {"state", "\"draining\""},
        {"cold_remaining_ms", "0"},
        {"born", "1700000000000"},
        {"seq", "4"}}},
      {"gateways",
       "",
       {{"address", "\"127.0.0.1:9\""},
        {"at_ms", "@NOW"},
        {"use", "{\"ws1\":[1,1,0,0]}"},
        {"admitted", "{\"ws1\":1}"},
        {"crashes", "[[1,2,3,0]]"},
        {"limits", "{\"engine-0\":[1700000000000,5,10]}"}}},
      {"streams",
       "r0",
       {{"at_ms", "@NOW"},
        {"places", "[[\"r\",\"s\",\"v\",100]]"},
        {"streams", "{\"id\":0}"}}},
  };
  TestCluster cluster(1, 2);
  int round = 0;
  const auto write = [&](const OddTable& table, std::string value) {
    const size_t now = value.find("@NOW");
    if (now != std::string::npos) {
      value.replace(now, 4, std::to_string(Clock::Steady().Now().count));
    }
    cluster.store.PutInPart(table.table, table.part, "odd", value);
    cluster.RunFor(Ms{15});
    if (table.table == "streams") {
      CallerRequest resume = PlainCall("/resume/x", "resumes");
      resume.headers["Last-Event-Id"] = "1";
      cluster.Call(resume);
    }
  };
  for (const OddTable& table : tables) {
    CAPTURE(table.table);
    for (size_t field = 0; field < table.fields.size(); ++field) {
      for (const std::string& value : OddValues()) {
        write(table, DocumentOf(table.fields, field, value));
      }
    }
    const std::string good = DocumentOf(table.fields, table.fields.size(), "");
    for (const uint64_t seed : Seeds()) {
      std::mt19937_64 random(seed);
      for (int i = 0; i < 60; ++i) write(table, Mutated(good, random));
    }
    for (const std::string& value : OddValues()) write(table, value);
    // Gateways read each other's rows every 0.6 s.
    cluster.RunFor(Ms{700});
    cluster.store.PutInPart(table.table, table.part, "odd\r\nEvil: 1", good);
    CHECK(ServesAndFollows(cluster, round++));
    cluster.store.RemoveIf(table.table, [&](const std::string& value) {
      return value.find("127.0.0.1:9\"") != std::string::npos;
    });
  }
  CHECK(gateway::ExceptionsReported() == 0);
}

// Guards against numbers that are cut to another size or converted out of
// range, and against keys that break out of a header.
TEST_CASE("an entry with a field out of range names no upstream") {
  struct Row {
    const char* id;
    const char* field;
    nlohmann::json value;
    bool is_named;
  };
  const Row rows[] = {
      {"i-1", "slots", 4, true},
      {"i-1", "slots", 4294967296, false},
      {"i-1", "slots", -1, false},
      {"i-1", "cold_remaining_ms", 1e300, false},
      {"i-1", "cold_remaining_ms", -1, false},
      {"i-1", "address", "127.0.0.1:65536", false},
      {"i-1", "address", "127.0.0.1:0", false},
      {"i-1\r\nEvil: 1", "slots", 4, false},
      {"i 1", "slots", 4, false},
      {"", "slots", 4, false},
  };
  for (const Row& row : rows) {
    const std::string what =
        std::string(row.id) + " " + row.field + " " + row.value.dump();
    CAPTURE(what);
    nlohmann::json entry = {{"service", "plain"},
                            {"address", "127.0.0.1:9"},
                            {"zone", "a"},
                            {"version", "v1"},
                            {"state", "ready"}};
    entry[row.field] = row.value;
    CHECK(users_platform::DecodeUpstream(row.id, entry.dump()).ok() ==
          row.is_named);
  }
}

// Guards against a key of another writer that adds a header to requests.
TEST_CASE("an entry's key forges no header") {
  TestCluster cluster(1, 1);
  FakeServer& server = *cluster.plain[0];
  cluster.store.Put("servers", "odd\r\nEvil: 1", server.Entry("plain"));
  cluster.store.Remove("servers", server.id());
  cluster.RunFor(Ms{400});
  for (int i = 0; i < 3; ++i) {
    CHECK(cluster.Call(PlainCall("/safe/x", std::to_string(i))).status == 503);
  }
  CHECK(server.received.empty());
}

// Guards against stored turns that end a gateway when a caller names them.
TEST_CASE("stored turns of other writers harm no gateway") {
  const std::string deep(60000, '\x81');
  const std::string good = "99999999999999\n" + [] {
    std::string bytes;
    nlohmann::json::to_cbor({{"workspace", "ws1"},
                             {"previous", ""},
                             {"input", nlohmann::json::binary({1, 2})},
                             {"output", nlohmann::json::binary({})}},
                            bytes);
    return bytes;
  }();
  const std::vector<std::string> odd = {
      "",
      "1\n",
      "x",
      "1\n" + deep,
      "1\n\x9b\x7f\xff\xff\xff\xff\xff\xff\xff",
      "99999999999999999999999\n" + good};
  for (const uint64_t seed : Seeds()) {
    CAPTURE(seed);
    // Each change of the store makes the next one slower.
    TestCluster cluster(1, 2);
    std::mt19937_64 random(seed);
    std::vector<std::string> values = odd;
    for (int i = 0; i < 60; ++i) values.push_back(Mutated(good, random));
    for (size_t i = 0; i < values.size(); ++i) {
      const std::string id = "odd-" + std::to_string(i);
      for (int part = 0; part < 256; ++part) {
        cluster.store.PutInPart("turns", "t" + std::to_string(part), id,
                                values[i]);
      }
      CallerRequest turn = PlainCall("/kept/x", "after-" + id);
      turn.headers["Previous-Turn"] = id;
      const int status = cluster.Call(turn).status;
      CHECK((status == 200 || status == 404 || status == 503));
      cluster.store.RemoveIf("turns", [](const std::string&) { return true; });
    }
  }
  CHECK(gateway::ExceptionsReported() == 0);
}

struct OddMessage {
  std::string path;
  Fields fields;
};

// Guards against messages of gateways of another version, or of no gateway,
// that end the one that reads them.
TEST_CASE("messages to a gateway's peer address harm no gateway") {
  const OddMessage messages[] = {
      {"/rate/use",
       {{"address", "\"127.0.0.1:9\""},
        {"use", "{\"ws1\":[1,1,0,0]}"},
        {"admitted", "{\"ws1\":1}"}}},
      {"/rate/start", {{"workspace", "\"ws1\""}, {"waited_ms", "5"}}},
      {"/upstreams/grant",
       {{"upstream", "\"plain-0\""},
        {"started_at_ms", "0"},
        {"wants_grant", "true"},
        {"max_wait_ms", "5"},
        {"sender", "\"127.0.0.1:9\""},
        {"forwarded", "false"},
        {"cold_per_s", "5"},
        {"cold_left_ms", "5"}}},
      {"/streams/begun",
       {{"request", "\"r\""}, {"service", "\"s\""}, {"version", "\"v\""}}},
      {"/streams/origin", {{"request", "\"r\""}}},
      {"/budget/reserve",
       {{"program", "\"ws1/p\""},
        {"turn", "\"t\""},
        {"budget", "100"},
        {"most", "4"},
        {"time_ms", "50"}}},
      {"/budget/settle", {{"turn", "\"t\""}, {"spent", "4"}}},
  };
  TestCluster cluster(1, 2);
  // The use of rates counts while the store is away.
  for (const bool is_store_away : {false, true}) {
    CAPTURE(is_store_away);
    cluster.store.faults.unavailable = is_store_away;
    if (is_store_away) cluster.RunFor(Ms{700});
    for (const OddMessage& message : messages) {
      CAPTURE(message.path);
      const auto post = [&](const std::string& body) {
        CHECK(cluster.Post(cluster.configs[0].peers, message.path, body) != 0);
      };
      const auto& fields = message.fields;
      for (size_t field = 0; field < fields.size(); ++field) {
        for (const std::string& value : OddValues()) {
          post(DocumentOf(fields, field, value));
        }
      }
      for (const std::string& value : OddValues()) post(value);
      const std::string good = DocumentOf(fields, fields.size(), "");
      for (const uint64_t seed : Seeds()) {
        std::mt19937_64 random(seed);
        for (int i = 0; i < 60; ++i) post(Mutated(good, random));
      }
      post(good);
    }
    CHECK(cluster.Call(PlainCall("/safe/x", "served")).status == 200);
  }
  cluster.store.faults.unavailable = false;
  cluster.RunFor(Ms{700});
  CHECK(ServesAndFollows(cluster, 0));
  CHECK(gateway::ExceptionsReported() == 0);
}

}  // namespace
}  // namespace knapweed::testing
