// Which answers to a turn are given as whole: those that the next turn can
// build on.
#include <doctest/doctest.h>

#include "tests/platform/world.h"

namespace knapweed::testing {
namespace {

using Kind = Script::Kind;

constexpr char kEventBytes[] = "id: 1\ndata: word1\n\n";

Script RawScript(const std::string& status, const std::string& fields,
                 const std::string& body) {
  Script script;
  script.kind = Kind::kRaw;
  script.raw = "HTTP/1.1 " + status +
               " X\r\nRequest-Id: @ID\r\nServer-Seal: s\r\n" + fields + "\r\n" +
               body;
  return script;
}

std::string BodyOf(const TestCluster& cluster, const std::string& id) {
  for (const ReceivedRequest& request : cluster.EngineRequests()) {
    if (request.Get("Request-Id") == id) return request.body;
  }
  return {};
}

struct Row {
  const char* what;
  Script script;
  // It is a stream of events, so that the turn must be kept.
  bool is_stream;
};

std::vector<Row> Rows() {
  const auto typed = [](const std::string& type) {
    return "Content-Type: " + type + "\r\n";
  };
  const std::string events = kEventBytes;
  return {
      {"stream", RawScript("200", typed("text/event-stream"), events), true},
      {"stream, type in capitals",
       RawScript("200", typed("Text/Event-Stream"), events), true},
      {"stream, type with a parameter",
       RawScript("200", typed("text/event-stream; charset=utf-8"), events),
       true},
      {"stream, parameter without a space",
       RawScript("200", typed("TEXT/event-stream;charset=UTF-8"), events),
       true},
      {"stream, space before the parameter",
       RawScript("200", typed("text/event-stream ;charset=utf-8"), events),
       true},
      {"a longer type", RawScript("200", typed("text/event-streams"), events),
       false},
      {"no type", RawScript("200", "", events), false},
      {"another type", RawScript("200", typed("application/json"), "{}"),
       false},
      {"length", RawScript("200", "Content-Length: 4\r\n", "body"), false},
      {"no body", RawScript("200", "Content-Length: 0\r\n", ""), false},
      {"chunks",
       RawScript("200", "Transfer-Encoding: chunked\r\n",
                 "4\r\nbody\r\n0\r\n\r\n"),
       false},
      {"over the buffer", RawScript("200", "", std::string(600000, 'x')),
       false},
      {"204", RawScript("204", "", ""), false},
      {"201 that states a stream",
       RawScript("201", typed("text/event-stream"), events), false},
  };
}

// Guards against a turn that is answered whole and that the next one then
// doesn't find.
TEST_CASE("a turn that is answered whole can be continued") {
  for (const Row& row : Rows()) {
    const std::string what = row.what;
    CAPTURE(what);
    TestCluster cluster;
    for (auto& engine : cluster.engines) engine->default_script = row.script;
    CallerRequest first = PlainCall("/kept/x", "t1");
    first.body = "one;";
    const CallerResponse answer = cluster.Call(first);
    const bool given_as_whole =
        answer.complete && answer.status >= 200 && answer.status < 300;
    CHECK(given_as_whole == row.is_stream);
    CallerRequest second = PlainCall("/kept/x", "t2");
    second.body = "two;";
    second.headers["Previous-Turn"] = "t1";
    const CallerResponse next = cluster.Call(second);
    if (!given_as_whole) continue;
    CHECK(next.status == 200);
    CHECK(BodyOf(cluster, "t2") == "one;word1\ntwo;");
  }
}

// Guards against refusals of what no turn is to be built on.
TEST_CASE("an answer that isn't a stream is passed on where none is kept") {
  for (const Row& row : Rows()) {
    const std::string what = row.what;
    CAPTURE(what);
    TestCluster cluster;
    for (auto& engine : cluster.engines) engine->default_script = row.script;
    const CallerResponse answer = cluster.Call(PlainCall("/turn/x"));
    CHECK(answer.complete);
    CHECK(answer.status / 100 == 2);
    const std::string& raw = row.script.raw;
    const bool has_chunks = raw.find("chunked") != std::string::npos;
    const std::string body =
        has_chunks ? "body" : raw.substr(raw.find("\r\n\r\n") + 4);
    CHECK(answer.body == body);
  }
}

}  // namespace
}  // namespace knapweed::testing
