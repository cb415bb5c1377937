// What callers get when an upstream breaks off in its answer and another one
// answers next: the rest of the answer, an honest error or a visibly broken
// answer, and no bytes of another answer.
#include <doctest/doctest.h>

#include "tests/platform/raw_caller.h"

namespace knapweed::testing {
namespace {

using Kind = Script::Kind;

constexpr char kSigned[] = "Request-Id: @ID\r\nServer-Seal: s\r\n";
constexpr char kStreamType[] = "Content-Type: text/event-stream\r\n";

std::string Event(int n) {
  const std::string text = std::to_string(n);
  return "id: " + text + "\ndata: word" + text + "\n\n";
}

std::string Chunk(const std::string& text, const std::string& extension = {}) {
  char size[16];
  snprintf(size, sizeof(size), "%zx", text.size());
  return size + extension + "\r\n" + text + "\r\n";
}

std::string WholeStream() { return Event(1) + Event(2) + Event(3); }

Script RawScript(const std::string& text, RawEnd end = RawEnd::kClose) {
  Script script;
  script.kind = Kind::kRaw;
  script.raw = text;
  script.raw_end = end;
  return script;
}

// How an answer states its end.
enum class Framing { kLength, kChunked, kConnection };

std::string Head(const std::string& status, const std::string& fields) {
  return "HTTP/1.1 " + status + " X\r\n" + kSigned + fields;
}

std::string Framed(const std::string& head, const std::string& body,
                   Framing framing) {
  if (framing == Framing::kConnection) return head + "\r\n" + body;
  if (framing == Framing::kChunked) {
    const std::string chunk = body.empty() ? "" : Chunk(body);
    return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n";
  }
  return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

struct Break {
  std::string what;
  std::string raw;
};

// All places at which a chunked stream can break off.
std::vector<Break> BreaksOfChunkedStream() {
  const std::string head =
      Head("200", std::string(kStreamType) + "Transfer-Encoding: chunked\r\n");
  const std::string begun = head + "\r\n" + Chunk(Event(1));
  return {
      {"status line", "HTTP/1.1 20"},
      {"after the status line", "HTTP/1.1 200 X\r\n"},
      {"field name", head + "X-Fie"},
      {"field value", head + "X-Field: val"},
      {"after a CR", head + "X-Field: value\r"},
      {"after a field", head},
      {"after the head's last CR", head + "\r"},
      {"between head and body", head + "\r\n"},
      {"size of a chunk", begun + "1"},
      {"chunk extension", begun + "13;name=val"},
      {"after the size of a chunk", begun + "13\r\n"},
      {"inside an event", begun + "13\r\nid: 2\nda"},
      {"before an event's last line feed",
       begun + "13\r\nid: 2\ndata: word2\n"},
      {"after a chunk's bytes", begun + "13\r\n" + Event(2)},
      {"between events", begun},
      {"before the last chunk", begun + Chunk(Event(2)) + Chunk(Event(3))},
      {"after the last chunk's 0",
       begun + Chunk(Event(2)) + Chunk(Event(3)) + "0"},
      {"after the last chunk's line",
       begun + Chunk(Event(2)) + Chunk(Event(3)) + "0\r\n"},
  };
}

// What the upstream after the one that broke off answers.
struct Next {
  std::string what;
  Script script;
  // A body that is right if nothing was sent before it; empty if there is none.
  std::string own_body;
};

std::vector<Next> Nexts(Framing framing) {
  const auto raw = [&](const std::string& status, const std::string& fields,
                       const std::string& body) {
    return RawScript(Framed(Head(status, fields), body, framing));
  };
  const std::string from_start = WholeStream();
  const std::string ahead = Event(7) + Event(8);
  const std::string without_ids = "data: word1\n\ndata: word2\n\n";
  Script goes_on;
  goes_on.kind = Kind::kEvents;
  return {
      {"goes on", goes_on, from_start},
      {"error", raw("500", "", "foreign"), ""},
      {"error without a body", raw("500", "", ""), ""},
      {"404", raw("404", "", "foreign"), ""},
      {"421", raw("421", "", ""), ""},
      {"429", raw("429", "", "foreign"), ""},
      {"503", raw("503", "", "foreign"), ""},
      {"503, not run", raw("503", "Not-Executed: 1\r\n", ""), ""},
      {"plain 200", raw("200", "", "foreign"), "foreign"},
      {"204 that states a stream", RawScript(Head("204", kStreamType) + "\r\n"),
       ""},
      {"starts again", raw("200", kStreamType, from_start), from_start},
      {"jumps ahead", raw("200", kStreamType, ahead), ahead},
      {"no ids", raw("200", kStreamType, without_ids), without_ids},
      {"silence", RawScript("", RawEnd::kSilence), ""},
      {"close", RawScript(""), ""},
  };
}

struct Row {
  std::string what;
  std::string path;
  std::string version = "1.1";
  Script first;
  Next next;
  // All bytes of the answer that the first upstream began.
  std::string whole = WholeStream();
};

void RunRow(TestCluster& cluster, const Row& row) {
  const std::string& what = row.what;
  CAPTURE(what);
  CAPTURE(row.path);
  CAPTURE(row.version);
  const auto scripts = std::make_shared<std::deque<Script>>();
  scripts->push_back(row.first);
  for (auto* servers : {&cluster.engines, &cluster.plain}) {
    for (auto& server : *servers) {
      server->shared_scripts = scripts;
      server->default_script = row.next.script;
    }
  }
  const RawBytes raw = SendAndRead(
      cluster, RequestBytes("GET", row.path, row.version,
                            "Deadline-Ms: 400\r\nConnection: close\r\n"));
  const RawAnswer answer = ParseAnswer(raw, "GET");
  CAPTURE(raw.bytes);
  CHECK(scripts->empty());
  CHECK(raw.end != ConnectionEnd::kOpen);
  if (answer.is_whole) CHECK(answer.rest.empty());
  CHECK(raw.bytes.find("HTTP/1.1", 1) == std::string::npos);
  if (answer.status == 0) return;
  if (answer.status / 100 != 2) {
    CHECK(answer.is_whole);
    return;
  }
  const bool is_next = answer.body == row.next.own_body && answer.is_whole;
  if (is_next) return;
  if (answer.is_whole) {
    CHECK(answer.status == 200);
    CHECK(answer.body == row.whole);
    return;
  }
  const bool is_start = row.whole.starts_with(answer.body) ||
                        row.next.own_body.starts_with(answer.body);
  CHECK(is_start);
}

// Each row runs in its own cluster, as failures close upstreams for a while.
void RunRows(const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    TestCluster cluster;
    RunRow(cluster, row);
  }
}

std::string NameOf(const Break& at, RawEnd end, const Next& next) {
  return at.what + (end == RawEnd::kReset ? ", reset" : ", closed") + "; " +
         next.what;
}

// Guards against foreign, missing or repeated bytes in a stream that another
// upstream continues.
TEST_CASE("a resumed stream has no bytes of another answer") {
  std::vector<Row> rows;
  const std::vector<Next> nexts = Nexts(Framing::kChunked);
  for (const Break& at : BreaksOfChunkedStream()) {
    for (const RawEnd end : {RawEnd::kClose, RawEnd::kReset}) {
      for (const Next& next : nexts) {
        rows.push_back({.what = NameOf(at, end, next),
                        .path = "/resume/x",
                        .first = RawScript(at.raw, end),
                        .next = next});
      }
    }
  }
  RunRows(rows);
}

// Guards against events without ids that are sent again, or lost, when another
// upstream goes on.
TEST_CASE("events without ids are sent once") {
  const std::string head =
      Head("200", std::string(kStreamType) + "Transfer-Encoding: chunked\r\n") +
      "\r\n";
  const std::string plain = "data: word1\n\ndata: word2\n\n";
  struct Stream {
    const char* what;
    std::string begun;
    std::string whole;
  };
  const Stream streams[] = {
      {"no ids", "data: word1\n\n", plain},
      {"first one without an id", "data: word0\n\n" + Event(1),
       "data: word0\n\n" + WholeStream()},
      {"last one without an id", Event(1) + "data: more\n\n",
       Event(1) + "data: more\n\n" + Event(2) + Event(3)},
      {"a comment", ": ping\n\n" + Event(1), ": ping\n\n" + WholeStream()},
  };
  std::vector<Row> rows;
  for (const Stream& stream : streams) {
    Next again;
    again.what = "the whole stream again";
    again.script = RawScript(
        Framed(Head("200", kStreamType), stream.whole, Framing::kChunked));
    std::vector<Next> nexts = Nexts(Framing::kChunked);
    nexts.push_back(again);
    for (Next& next : nexts) {
      // Something was sent before it.
      next.own_body.clear();
      rows.push_back({.what = std::string(stream.what) + "; " + next.what,
                      .path = "/resume/x",
                      .first = RawScript(head + Chunk(stream.begun)),
                      .next = next,
                      .whole = stream.whole});
    }
  }
  RunRows(rows);
}

// Guards against a body without a length that looks whole although its
// connection was reset.
TEST_CASE("a body that ends with a reset is not whole") {
  struct Reset {
    const char* what;
    const char* path;
    Script script;
    size_t request_bytes = 0;
  };
  const std::string plain = Head("200", "") + "\r\n";
  const std::string stream = Head("200", kStreamType) + "\r\n";
  const std::string large(600000, 'x');
  Script unread_plain = RawScript(plain + "bod", RawEnd::kReset);
  unread_plain.kind = Kind::kEarlyRaw;
  Script unread_stream = RawScript(stream + Event(1), RawEnd::kReset);
  unread_stream.kind = Kind::kEarlyRaw;
  constexpr size_t kLargeRequest = 24 << 20;
  const Reset resets[] = {
      {"no body", "/safe/x", RawScript(plain, RawEnd::kResetAtOnce)},
      {"short body", "/safe/x", RawScript(plain + "bod", RawEnd::kReset)},
      {"short body, at once", "/safe/x",
       RawScript(plain + "bod", RawEnd::kResetAtOnce)},
      {"short body, at once, once", "/once/x",
       RawScript(plain + "bod", RawEnd::kResetAtOnce)},
      {"long body", "/safe/x", RawScript(plain + large, RawEnd::kReset)},
      {"stream", "/turn/x", RawScript(stream + Event(1), RawEnd::kReset)},
      {"stream, at once", "/turn/x",
       RawScript(stream + Event(1), RawEnd::kResetAtOnce)},
      {"kept stream, at once", "/kept/x",
       RawScript(stream + Event(1), RawEnd::kResetAtOnce)},
      {"request not read", "/once/x", unread_plain, kLargeRequest},
      {"request not read, safe", "/safe/x", unread_plain, kLargeRequest},
      {"request not read, stream", "/turn/x", unread_stream, kLargeRequest},
  };
  for (const Reset& reset : resets) {
    const std::string what = reset.what;
    CAPTURE(what);
    TestCluster cluster;
    cluster.Configure([](nlohmann::json& config) {
      config["limits"]["max_body_bytes"] = 2 * kLargeRequest;
    });
    cluster.RunFor(Ms{200});
    for (auto* servers : {&cluster.engines, &cluster.plain}) {
      for (auto& server : *servers) server->default_script = reset.script;
    }
    const std::string fields = "Connection: close\r\nContent-Length: " +
                               std::to_string(reset.request_bytes) + "\r\n";
    const RawBytes raw =
        SendAndRead(cluster, RequestBytes("POST", reset.path, "1.1", fields) +
                                 std::string(reset.request_bytes, 'r'));
    const RawAnswer answer = ParseAnswer(raw, "POST");
    CHECK(raw.end != ConnectionEnd::kOpen);
    CHECK((answer.status != 200 || !answer.is_whole));
  }
}

}  // namespace
}  // namespace knapweed::testing
