// Odd inputs: rows of other writers, requests and responses of any bytes. No
// input may end the gateway, stop it from following a table, or keep others
// from being served. KNAPWEED_SEEDS sets the number of seeds, and
// KNAPWEED_FIRST_SEED the first, so that several processes can share them.
#include <doctest/doctest.h>

#include <cstdlib>
#include <numeric>
#include <random>

#include "knapweed/base/parse.h"
#include "tests/platform/world.h"

namespace knapweed::testing {
namespace {

using Kind = Script::Kind;

uint64_t NumberInEnvironment(const char* name, uint64_t otherwise) {
  uint64_t number = otherwise;
  const char* text = std::getenv(name);
  if (text != nullptr) ParseNumber(std::string_view(text), &number);
  return number;
}

std::vector<uint64_t> Seeds() {
  std::vector<uint64_t> seeds(NumberInEnvironment("KNAPWEED_SEEDS", 1));
  std::iota(seeds.begin(), seeds.end(),
            NumberInEnvironment("KNAPWEED_FIRST_SEED", 1));
  return seeds;
}

// Returns values for a field of a JSON document that other writers may leave.
std::vector<std::string> OddValues() {
  const std::string deep(60000, '[');
  return {"null",
          "true",
          "-1",
          "0",
          "1e300",
          "1e999",
          "-1e300",
          "1.5",
          "4294967296",
          "18446744073709551615",
          "18446744073709551616",
          "9223372036854775807",
          "-9223372036854775808",
          "\"\"",
          "\"x\"",
          "\"127.0.0.1:0\"",
          "\"127.0.0.1:65536\"",
          "\"127.0.0.1:99999999999\"",
          "\"127.0.0.1:-1\"",
          "\"[::1]:80\"",
          "\"a\\r\\nb: c\"",
          "\"\xAE\"",
          "\"\\ud800\"",
          "[]",
          "{}",
          "[1]",
          "{\"a\":1}",
          deep,
          deep + std::string(60000, ']'),
          "[" + deep + std::string(60000, ']') + ",1,2,3]"};
}

// Returns a document of the fields, one of which has another value.
std::string DocumentOf(
    const std::vector<std::pair<std::string, std::string>>& fields,
    size_t changed, const std::string& value) {
  std::string text = "{";
  for (size_t i = 0; i < fields.size(); ++i) {
    if (i > 0) text += ",";
    text += "\"" + fields[i].first + "\":";
    text += i == changed ? value : fields[i].second;
  }
  return text + "}";
}

std::string Mutated(std::string text, std::mt19937_64& random) {
  const size_t changes = 1 + random() % 4;
  for (size_t i = 0; i < changes && !text.empty(); ++i) {
    const size_t at = random() % text.size();
    switch (random() % 4) {
      case 0:
        text[at] = static_cast<char>(random());
        break;
      case 1:
        text.erase(at, 1 + random() % 8);
        break;
      case 2:
        text.insert(at, 1 + random() % 40, text[random() % text.size()]);
        break;
      default:
        text.resize(at);
    }
  }
  return text;
}

// Checks that the gateway still follows the list and serves others.
void CheckServes(TestCluster& cluster, int round) {
  FakeServer& server = *cluster.plain[0];
  const std::string id = "served-" + std::to_string(round);
  CHECK(cluster.Call(PlainCall("/safe/x", id)).status == 200);
  // A change of the list is followed.
  const auto is_draining = [&](bool draining) {
    return cluster.RunUntil(
        [&] {
          const std::string state =
              cluster.Get(cluster.configs[0].metrics, "/state");
          const auto json = nlohmann::json::parse(state, nullptr, false);
          return json.is_object() && json["upstreams"].contains(server.id()) &&
                 json["upstreams"][server.id()]["draining"] == draining;
        },
        Seconds(3));
  };
  cluster.store.Put("servers", server.id(), server.Entry("plain", true));
  CHECK(is_draining(true));
  cluster.store.Put("servers", server.id(), server.Entry("plain", false));
  CHECK(is_draining(false));
}

struct OddTable {
  std::string table;
  std::string part;
  std::vector<std::pair<std::string, std::string>> fields;
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
    CheckServes(cluster, round++);
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
  TestCluster cluster(1, 2);
  std::string deep(60000, '\x81');
  const std::string good = "99999999999999\n" + [] {
    std::string bytes;
    nlohmann::json::to_cbor({{"workspace", "ws1"},
                             {"previous", ""},
                             {"input", nlohmann::json::binary({1, 2})},
                             {"output", nlohmann::json::binary({})}},
                            bytes);
    return bytes;
  }();
  std::vector<std::string> values = {"",
                                     "1\n",
                                     "x",
                                     "1\n" + deep,
                                     "1\n\x9b\x7f\xff\xff\xff\xff\xff\xff\xff",
                                     "99999999999999999999999\n" + good};
  for (const uint64_t seed : Seeds()) {
    std::mt19937_64 random(seed);
    for (int i = 0; i < 60; ++i) values.push_back(Mutated(good, random));
  }
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
  CHECK(gateway::ExceptionsReported() == 0);
}

struct OddMessage {
  std::string path;
  std::vector<std::pair<std::string, std::string>> fields;
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
  CheckServes(cluster, 0);
  CHECK(gateway::ExceptionsReported() == 0);
}

// Guards against requests whose bytes end the gateway, and with it all others
// that it serves.
TEST_CASE("requests of any bytes harm no other") {
  TestCluster cluster(1, 2);
  const std::string methods[] = {"GET",   "POST",    "QUERY",
                                 "BREW",  "CONNECT", "OPTIONS",
                                 "TRACE", "get",     "M-SEARCH"};
  const std::string paths[] = {"/safe/x",
                               "/once/x",
                               "/turn/x",
                               "/kept/x",
                               "/resume/x",
                               "*",
                               "/",
                               "//safe//",
                               "/safe/%00%zz?a=b#c",
                               "http://a/safe/x"};
  const std::string names[] = {"Request-Id",
                               "Program-Id",
                               "Session-Id",
                               "Previous-Turn",
                               "Resumes",
                               "Key",
                               "Cookie",
                               "Model",
                               "Deadline-Ms",
                               "Finish-Ms",
                               "Token-Budget",
                               "Token-Usage",
                               "Last-Event-Id",
                               "Prompt-Prefix",
                               "Connection",
                               "Expect",
                               "Transfer-Encoding",
                               "Content-Length",
                               "Keep-Alive",
                               "Length-Hint"};
  const std::string values[] = {"",
                                std::string("\xAE") + "alec",
                                "\xff\xfe",
                                std::string(150, 'a'),
                                std::string(3000, 'b'),
                                "-1",
                                "0",
                                "1e300",
                                "9223372036854775807",
                                "-9223372036854775808",
                                "18446744073709551616",
                                "4294967295,4294967295",
                                "0,0",
                                ",",
                                "5c1e07a2:4294967295,5c1e07a2:1",
                                "ffffffffffffffff:0",
                                "zz:1",
                                "a b",
                                "\"",
                                "Affinity-Key=\xAE; Affinity-Key",
                                "close, Key, ,",
                                "100-continue",
                                "chunked",
                                "~1",
                                "id^0",
                                "\t"};
  int served = 0;
  const auto send = [&](const std::string& text) {
    cluster.SendRaw(text, 0, Ms{60});
    if (++served % 100 != 0) return;
    const std::string id = "served-" + std::to_string(served);
    CHECK(cluster.Call(PlainCall("/safe/x", id)).status == 200);
  };
  const auto text_of = [&](const std::string& method, const std::string& path,
                           const std::string& more) {
    return method + " " + path + " HTTP/1.1\r\nHost: " + kHost +
           "\r\nKey: key1\r\nRequest-Id: q\r\n" + more +
           "Content-Length: 2\r\nConnection: close\r\n\r\nin";
  };
  for (const std::string& method : methods) {
    for (const std::string& path : paths) send(text_of(method, path, ""));
  }
  for (const std::string& name : names) {
    for (const std::string& value : values) {
      const std::string& path = paths[static_cast<size_t>(served) % 5];
      const std::string usual = text_of("POST", path, "");
      // As the first of its name, before the usual ones.
      std::string text = usual.substr(0, usual.find('\n') + 1);
      text.append(name).append(": ").append(value).append("\r\n");
      text.append(usual.substr(usual.find('\n') + 1));
      send(text);
    }
  }
  const std::string good =
      text_of("POST", "/kept/x",
              "Program-Id: p\r\nToken-Budget: 100\r\nToken-Usage: 10,4\r\n");
  for (const uint64_t seed : Seeds()) {
    std::mt19937_64 random(seed);
    for (int i = 0; i < 200; ++i) send(Mutated(good, random));
  }
  CheckServes(cluster, served);
  CHECK(gateway::ExceptionsReported() == 0);
}

TEST_CASE("a malformed identifier is refused with its name") {
  struct Row {
    const char* name;
    const char* error;
  };
  const Row rows[] = {{"Request-Id", "malformed request id"},
                      {"Program-Id", "malformed program id"},
                      {"Previous-Turn", "malformed id of previous turn"},
                      {"Resumes", "malformed id of resumed request"}};
  TestCluster cluster(1, 2);
  for (const Row& row : rows) {
    for (const std::string& value :
         {std::string("\xAE") + "alec", std::string("a b"),
          std::string(129, 'a')}) {
      CallerRequest call = PlainCall("/kept/x", "q");
      call.headers[row.name] = value;
      const CallerResponse response = cluster.Call(call);
      CHECK(response.status == 400);
      CHECK(response.body.find(row.error) != std::string::npos);
    }
  }
  CHECK(cluster.EngineRequests().empty());
}

TEST_CASE("a method that HTTP does not define is forwarded unchanged") {
  TestCluster cluster(1, 2);
  CallerRequest call = PlainCall("/safe/x", "q");
  call.method = "QUERY";
  CHECK(cluster.Call(call).status == 200);
  bool found = false;
  for (const auto& server : cluster.plain) {
    for (const ReceivedRequest& request : server->received) {
      found = found || request.method == "QUERY";
    }
  }
  CHECK(found);
}

// Guards against responses whose bytes end the gateway.
TEST_CASE("responses of any bytes harm no other") {
  TestCluster cluster(1, 3);
  const std::string head =
      "HTTP/1.1 200 X\r\nRequest-Id: @ID\r\nServer-Seal: s\r\n";
  const std::string stream = head + "Content-Type: text/event-stream\r\n\r\n";
  std::vector<std::string> answers = {
      "",
      "\x01\x02",
      "HTTP/1.1 999 X\r\nRequest-Id: @ID\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 000 X\r\nRequest-Id: @ID\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 204 X\r\nRequest-Id: @ID\r\nContent-Length: 5\r\n\r\nhello",
      head + "Content-Length: 18446744073709551615\r\n\r\n",
      head + "Content-Length: -1\r\n\r\n",
      head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
      head + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
      head + "Transfer-Encoding: chunked\r\n\r\n-1\r\n",
      head +
          "Keep-Alive: timeout=9223372036854775807\r\n"
          "Content-Length: 0\r\n\r\n",
      head + "Server-Limit: 1e308\r\nContent-Length: 0\r\n\r\n",
      head + "Server-Limit: nan\r\nContent-Length: 0\r\n\r\n",
      head + "Connection: \xAE, ,,\r\nContent-Length: 0\r\n\r\n",
      head + "X: \xAE\xff\r\nContent-Length: 0\r\n\r\n",
      stream + "id: 99999999999999999999\ndata: x\n\n",
      stream + "id: -1\ndata: \xAE\n\nid: 18446744073709551615\ndata: y\n\n",
      stream + std::string(5000, '\n'),
      stream + "data",
  };
  const std::string good = stream + "id: 1\ndata: x\n\nid: 2\ndata: y\n\n";
  for (const uint64_t seed : Seeds()) {
    std::mt19937_64 random(seed);
    for (int i = 0; i < 150; ++i) answers.push_back(Mutated(good, random));
  }
  const char* paths[] = {"/safe/x", "/once/x", "/kept/x", "/resume/x"};
  const auto set_all = [&](const Script& script) {
    for (auto& server : cluster.engines) server->default_script = script;
    for (auto& server : cluster.plain) server->default_script = script;
  };
  int number = 0;
  for (const std::string& answer : answers) {
    Script script{Kind::kRaw, 3, -1, Ms{0}};
    script.raw = answer;
    set_all(script);
    const std::string id = "odd-" + std::to_string(number);
    CallerRequest call = PlainCall(paths[number++ % 4], id);
    call.headers["Deadline-Ms"] = "300";
    cluster.Call(call);
    // One that comes to trouble is avoided for a while, so others answer.
    if (number % 50 == 0) {
      set_all({Kind::kPlain, 3, -1, Ms{0}});
      cluster.RunFor(Ms{1200});
      CHECK(cluster.Call(PlainCall("/safe/x", id + "-served")).status == 200);
    }
  }
  CHECK(gateway::ExceptionsReported() == 0);
}

}  // namespace
}  // namespace knapweed::testing
