#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

#include "knapweed/http/client.h"
#include "standins/engine.h"
#include "standins/engine_answer.h"
#include "standins/free_port.h"
#include "standins/prefix_cache.h"
#include "standins/service.h"

namespace knapweed {
namespace {

using nlohmann::json;

// A stand-in that is served on a loopback address, and a client for it.
struct StandinFixture {
  explicit StandinFixture(Standin served_standin)
      : standin(std::move(served_standin)),
        server(*ServeStandin(listen, standin)) {}

  absl::StatusOr<HttpReply> Post(const std::string& path, const json& body) {
    return client.Call({"POST", path, "", {{"X-Attempt", "a1"}}, body.dump()});
  }
  json Get(const std::string& path, const std::string& query = "") {
    const auto reply = client.Call({"GET", path, query, {}, ""});
    return reply.ok() ? json::parse(reply->body, nullptr, false) : json();
  }

  Address listen = FreeLoopbackAddress();
  Standin standin;
  std::unique_ptr<HttpServer> server;
  HttpClient client{listen};
};

json Chat(const std::string& content) {
  return {{"model", "m"},
          {"messages", json::array({{{"role", "user"}, {"content", content}}})},
          {"max_tokens", 40},
          {"request_id", "r1"}};
}

TEST_CASE("the engine gives the same answer complete, streamed and resumed") {
  StandinFixture engine(MakeEngineStandin());
  const ChatMessage message{"user", "hello"};
  const std::string expected = EngineAnswer("m", {&message, 1}, 40);
  CHECK(CountTokens(expected) == 40);
  CHECK(expected.find(MessagesDigest({&message, 1})) != std::string::npos);

  const auto whole = engine.Post("/v1/chat/completions", Chat("hello"));
  REQUIRE(whole.ok());
  const json parsed = json::parse(whole->body);
  CHECK(parsed["choices"][0]["message"]["content"] == expected);
  CHECK(parsed["usage"]["completion_tokens"] == 40);

  json request = Chat("hello");
  request["stream"] = true;
  const auto streamed = engine.Post("/v1/chat/completions", request);
  REQUIRE(streamed.ok());
  CHECK(FindHeader(streamed->headers, "Content-Type") == "text/event-stream");
  CHECK(streamed->body.ends_with("data: [DONE]\n\n"));
  CHECK(streamed->body.find(R"("completion_tokens":40)") != std::string::npos);

  const auto resumed =
      engine.Post("/v1/resume", {{"request_id", "r1"}, {"from", 100}});
  REQUIRE(resumed.ok());
  CHECK(resumed->body.find(expected.substr(100)) != std::string::npos);
}

TEST_CASE("the engine rejects each bad request with its status") {
  StandinFixture engine(MakeEngineStandin());
  REQUIRE(engine.standin.control({{"check_fencing", true}}).ok());
  const auto order = [](int number) {
    return json{{"kind", "load_model"},
                {"name", "n"},
                {"fencing", {{"scope", "engine"}, {"number", number}}}};
  };
  json unknown_model = Chat("x");
  unknown_model["model"] = "other";
  struct BadCase {
    std::string name;
    std::string path;
    json body;
    int status;
  };
  const std::vector<BadCase> rows = {
      {"no messages", "/v1/chat/completions", {{"model", "m"}}, 400},
      {"unknown model", "/v1/chat/completions", unknown_model, 404},
      {"unknown request", "/v1/cancel", {{"request_id", "no"}}, 404},
      {"unknown hold", "/cache/release", {{"hold", "no"}}, 404},
      {"first order", "/orders", order(8), 200},
      {"older order", "/orders", order(7), 409},
      {"same order", "/orders", order(8), 200},
      {"unknown control field", "/control", {{"no_such", 1}}, 400},
      {"wrong control type", "/control", {{"slots", "many"}}, 400},
      {"unknown path", "/v2", json::object(), 404},
  };
  for (const BadCase& row : rows) {
    CAPTURE(row.name);
    const auto reply = engine.Post(row.path, row.body);
    REQUIRE(reply.ok());
    CHECK(reply->status == row.status);
  }
}

TEST_CASE("a crash drops the request and the cache, and is recorded") {
  StandinFixture engine(MakeEngineStandin());
  REQUIRE(engine.standin.control({{"restart", 0}}).ok());
  const std::string text(400, 'x');
  REQUIRE(engine.Post("/v1/chat/completions", Chat(text)).ok());
  REQUIRE(
      engine.Post("/cache/hold", {{"hold", "h"}, {"request_id", "r1"}}).ok());
  CHECK(engine.Get("/stats")["holds"].size() == 1);
  CHECK(engine.Get("/cache/export", "hold=h")["blocks"].size() > 0);
  const auto crashed =
      engine.Post("/v1/chat/completions", Chat("CRASH-ENGINE now"));
  CHECK(crashed.status().code() == absl::StatusCode::kUnknown);
  const json stats = engine.Get("/stats");
  CHECK(stats["holds"].empty());
  CHECK(stats["cache_blocks"] == 0);
  CHECK(stats["incarnation"] == 2);
  const json record = engine.Get("/record");
  REQUIRE(record.size() == 2);
  CHECK(record[0]["state"] == "done");
  CHECK(record[1]["state"] == "crashed");
}

TEST_CASE("a turn's record has the digest of the history it continues") {
  StandinFixture engine(MakeEngineStandin());
  json request = Chat("one");
  const auto first = engine.Post("/v1/chat/completions", request);
  REQUIRE(first.ok());
  request["messages"].push_back(
      json::parse(first->body)["choices"][0]["message"]);
  request["messages"].push_back({{"role", "user"}, {"content", "two"}});
  REQUIRE(engine.Post("/v1/chat/completions", request).ok());
  const json record = engine.Get("/record");
  REQUIRE(record.size() == 2);
  CHECK(record[1]["prefixes"][1] == record[0]["after"]);
  CHECK(record[1]["digest"] == record[1]["prefixes"][2]);
  CHECK(record[1]["cached_tokens"] > 0);
  CHECK(record[0]["attempt"] == "a1");
}

TEST_CASE("an address that is cut drops requests until the cut is lifted") {
  StandinFixture tool(MakeToolStandin());
  CHECK(tool.Post("/tool/x", json::object()).ok());
  REQUIRE(tool.Post("/control", {{"cut", true}}).ok());
  CHECK_FALSE(tool.Post("/tool/x", json::object()).ok());
  REQUIRE(tool.Post("/control", {{"cut", false}}).ok());
  CHECK(tool.Post("/tool/x", json::object()).ok());
  CHECK(tool.Get("/record").size() == 2);
}

TEST_CASE("each fault of the plain service is recorded") {
  struct FaultCase {
    std::string name;
    json faults;
    bool answered;
    int status;
    bool ran;
  };
  const std::vector<FaultCase> rows = {
      {"none", json::object(), true, 200, true},
      {"fails before", {{"fail_before_next", 1}}, true, 503, false},
      {"drops before", {{"drop_before_next", 1}}, false, 0, false},
      {"drops the answer", {{"drop_answer_next", 1}}, false, 0, true},
      {"hangs", {{"hang_next", 1}, {"hang", 100}}, true, 200, true},
      {"other status", {{"status", 409}}, true, 409, true},
  };
  StandinFixture service(MakeServiceStandin());
  for (size_t i = 0; i < rows.size(); ++i) {
    const FaultCase& row = rows[i];
    CAPTURE(row.name);
    REQUIRE(service.standin.control(row.faults).ok());
    const auto reply = service.Post("/book", {{"reference", row.name}});
    CHECK(reply.ok() == row.answered);
    if (reply.ok()) CHECK(reply->status == row.status);
    const json line = service.Get("/record")[i];
    CHECK(line["ran"] == row.ran);
    CHECK(line["reference"] == row.name);
    CHECK(line["attempt"] == "a1");
  }
}

TEST_CASE(
    "the prefix cache evicts the least recently used ends, never held blocks") {
  PrefixCache cache(4);
  const std::vector<uint64_t> a = {1, 2, 3};
  const std::vector<uint64_t> b = {1, 7};
  const std::vector<uint64_t> c = {8, 9, 10};
  cache.Insert(a, Ms{0});
  CHECK(cache.Touch(a) == 3);
  cache.Insert(b, Ms{0});
  CHECK(cache.size() == 4);
  CHECK(cache.Hold("h", b) == 2);
  cache.Insert(c, Ms{0});
  CHECK(cache.size() == 4);
  CHECK(cache.Touch(b) == 2);
  CHECK(cache.Touch(a) == 1);
  CHECK(cache.Touch(c) == 2);
  CHECK(cache.Release("h"));
  CHECK_FALSE(cache.Release("h"));
  cache.Insert(std::vector<uint64_t>{20, 21, 22, 23}, Ms{0});
  CHECK(cache.Touch(b) == 0);
}

TEST_CASE("equal block hashes mean equal prefixes") {
  const std::string prompt(300, 'p');
  const std::vector<uint64_t> chain = BlockChain(prompt);
  CHECK(chain.size() == 4);
  CHECK(BlockChain(prompt + "more")[3] == chain[3]);
  std::string other = prompt;
  other[0] = 'q';
  CHECK(BlockChain(other)[3] != chain[3]);
}

}  // namespace
}  // namespace knapweed
