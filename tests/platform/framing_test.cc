// How answers are framed for each kind of caller: where they end, and whether
// one that breaks off can be told from a whole one.
#include <doctest/doctest.h>

#include "tests/platform/raw_caller.h"

namespace knapweed::testing {
namespace {

using Kind = Script::Kind;

constexpr char kThreeEvents[] =
    "id: 1\ndata: word1\n\nid: 2\ndata: word2\n\nid: 3\ndata: word3\n\n";
constexpr char kSignedHead[] =
    "HTTP/1.1 200 X\r\nRequest-Id: @ID\r\nServer-Seal: s\r\n";

Script RawScript(const std::string& text, RawEnd end = RawEnd::kClose) {
  Script script;
  script.kind = Kind::kRaw;
  script.raw = text;
  script.raw_end = end;
  return script;
}

void SetAll(TestCluster& cluster, const Script& script) {
  for (auto* servers : {&cluster.engines, &cluster.plain}) {
    for (auto& server : *servers) server->default_script = script;
  }
}

// Guards against chunks in an answer to a caller that doesn't know them, and
// against a connection that stays open without the caller's knowledge.
TEST_CASE("a caller of HTTP/1.0 gets a body that ends with its connection") {
  struct Row {
    const char* what;
    const char* path;
    const char* fields;
    Kind kind;
    const char* body;
    // The connection stays open, as the answer states.
    bool stays_open;
  };
  const std::string large = FakeServer::LargeBody();
  const Row rows[] = {
      {"stream", "/turn/x", "", Kind::kEvents, kThreeEvents, false},
      {"stream, asks to keep alive", "/turn/x", "Connection: keep-alive\r\n",
       Kind::kEvents, kThreeEvents, false},
      {"kept stream", "/kept/x", "", Kind::kEvents, kThreeEvents, false},
      {"body over the buffer", "/safe/x", "", Kind::kLarge, large.c_str(),
       false},
      {"short body", "/safe/x", "", Kind::kPlain, "body", false},
      {"short body, asks to keep alive", "/safe/x",
       "Connection: keep-alive\r\n", Kind::kPlain, "body", true},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    TestCluster cluster;
    Script script;
    script.kind = row.kind;
    SetAll(cluster, script);
    const RawBytes raw =
        SendAndRead(cluster, RequestBytes("GET", row.path, "1.0", row.fields),
                    {.limit = Ms{500}});
    const RawAnswer answer = ParseAnswer(raw, "GET");
    CHECK(answer.status == 200);
    CHECK(answer.fields["Transfer-Encoding"].empty());
    CHECK(answer.body == row.body);
    CHECK(answer.rest.empty());
    CHECK(answer.is_whole);
    CHECK((raw.end == ConnectionEnd::kOpen) == row.stays_open);
    CHECK(answer.fields["Connection"] ==
          (row.stays_open ? "keep-alive" : "close"));
  }
}

// Guards against a body that ends with its connection and that a plain close
// after a failure makes look whole.
TEST_CASE("an answer that breaks off is seen as broken by any caller") {
  struct Row {
    const char* what;
    const char* path;
    Script script;
  };
  const std::string chunked = std::string(kSignedHead) +
                              "Content-Type: text/event-stream\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n";
  const Script events = {Kind::kEvents, 5, 2, Ms{0}};
  const Script large =
      RawScript(std::string(kSignedHead) + "Content-Length: 1000000\r\n\r\n" +
                std::string(600000, 'x'));
  const Row rows[] = {
      {"stream closed in an event", "/turn/x", events},
      {"resumable stream closed each time", "/resume/x", events},
      {"kept stream closed in an event", "/kept/x", events},
      {"stream reset before its first event", "/turn/x",
       RawScript(chunked, RawEnd::kReset)},
      {"stream silent until the deadline", "/turn/x",
       RawScript(chunked + "14\r\nid: 1\ndata: word1\n\n\r\n",
                 RawEnd::kSilence)},
      {"body over the buffer", "/safe/x", large},
      {"body over the buffer, once", "/once/x", large},
  };
  for (const std::string version : {"1.0", "1.1"}) {
    for (const Row& row : rows) {
      const std::string what = row.what;
      CAPTURE(what);
      CAPTURE(version);
      TestCluster cluster;
      SetAll(cluster, row.script);
      const RawBytes raw = SendAndRead(
          cluster,
          RequestBytes("GET", row.path, version, "Deadline-Ms: 1500\r\n"));
      const RawAnswer answer = ParseAnswer(raw, "GET");
      CHECK(answer.status == 200);
      CHECK_FALSE(answer.is_whole);
      CHECK(raw.end != ConnectionEnd::kOpen);
    }
  }
}

// Guards against a body that looks whole because its caller read slowly.
TEST_CASE("an answer whose caller does not read is seen as broken") {
  TestCluster cluster;
  Script script;
  script.kind = Kind::kEndlessLongEvents;
  SetAll(cluster, script);
  const RawBytes raw =
      SendAndRead(cluster, RequestBytes("GET", "/turn/x", "1.0"),
                  {.limit = Seconds(2), .reads_after = Seconds(10)});
  CHECK(raw.end == ConnectionEnd::kReset);
}

// Guards against the next answer inside a body that has not ended.
TEST_CASE("no answer follows one that has not ended") {
  for (const std::string version : {"1.0", "1.1"}) {
    CAPTURE(version);
    TestCluster cluster;
    SetAll(cluster, RawScript(std::string(kSignedHead) +
                                  "Content-Type: text/event-stream\r\n\r\n"
                                  "id: 1\ndata: word1\n\n",
                              RawEnd::kSilence));
    const std::string fields = "Connection: keep-alive\r\n";
    const RawBytes raw =
        SendAndRead(cluster,
                    RequestBytes("GET", "/turn/x", version, fields) +
                        RequestBytes("GET", "/none/x", version, fields),
                    {.limit = Seconds(1), .stops_sending_after = Ms{200}});
    const RawAnswer answer = ParseAnswer(raw, "GET");
    CHECK_FALSE(answer.is_whole);
    CHECK(raw.bytes.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(raw.end != ConnectionEnd::kOpen);
  }
}

// Guards against bytes after an answer that has no body, which the next answer
// on the connection would begin with.
TEST_CASE("an answer without a body is followed by the next answer") {
  struct Row {
    const char* what;
    const char* method;
    const char* path;
    std::string raw;
  };
  const std::string events = "Content-Type: text/event-stream\r\n";
  const std::string no_content =
      "HTTP/1.1 204 X\r\nRequest-Id: @ID\r\nServer-Seal: s\r\n";
  const std::string head = kSignedHead;
  const Row rows[] = {
      {"HEAD, chunked stream", "HEAD", "/turn/x",
       head + events + "Transfer-Encoding: chunked\r\n\r\n"},
      {"HEAD, stream to the end of the connection", "HEAD", "/turn/x",
       head + events + "\r\n"},
      {"HEAD, resumable stream", "HEAD", "/resume/x",
       head + events + "Transfer-Encoding: chunked\r\n\r\n"},
      {"HEAD, kept stream", "HEAD", "/kept/x",
       head + events + "Transfer-Encoding: chunked\r\n\r\n"},
      {"HEAD, length", "HEAD", "/safe/x", head + "Content-Length: 900\r\n\r\n"},
      {"HEAD, large length", "HEAD", "/safe/x",
       head + "Content-Length: 9000000\r\n\r\n"},
      {"HEAD, no length", "HEAD", "/safe/x", head + "\r\n"},
      {"204", "GET", "/safe/x", no_content + "\r\n"},
      {"204 on a streaming route", "GET", "/turn/x", no_content + "\r\n"},
      {"204 that states a stream", "GET", "/turn/x",
       no_content + events + "\r\n"},
  };
  for (const std::string version : {"1.0", "1.1"}) {
    for (const Row& row : rows) {
      const std::string what = row.what;
      CAPTURE(what);
      CAPTURE(version);
      TestCluster cluster;
      SetAll(cluster, RawScript(row.raw));
      const std::string request = RequestBytes(row.method, row.path, version,
                                               "Connection: keep-alive\r\n");
      const RawBytes raw = SendAndRead(
          cluster, request + RequestBytes("GET", "/none/x", version),
          {.limit = Ms{500}});
      const RawAnswer first = ParseAnswer(raw, "HEAD");
      CHECK(first.is_whole);
      CHECK((first.status == 200 || first.status == 204));
      CHECK(first.fields["Content-Length"] != "0");
      const RawAnswer second = ParseAnswer({first.rest, raw.end}, "GET");
      CHECK(second.status == 404);
      CHECK(second.is_whole);
      CHECK(second.rest.empty());
    }
  }
}

// Guards against an interim answer to a caller that takes it for the answer.
TEST_CASE("only a caller of HTTP/1.1 is told to go on with its body") {
  for (const bool is_new : {false, true}) {
    CAPTURE(is_new);
    TestCluster cluster;
    const std::string request = RequestBytes(
        "POST", "/safe/x", is_new ? "1.1" : "1.0",
        "Expect: 100-continue\r\nConnection: close\r\nContent-Length: 4\r\n");
    const RawBytes raw = SendAndRead(cluster, request + "text");
    CHECK(raw.bytes.starts_with("HTTP/1.1 100 ") == is_new);
  }
}

}  // namespace
}  // namespace knapweed::testing
