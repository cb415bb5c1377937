// Tests that the cause of a failed call can be found from its id and the logs.
#include <doctest/doctest.h>
#include <unistd.h>

#include <cstdio>
#include <sstream>
#include <string>
#include <vector>

#include "knapweed/base/log.h"
#include "knapweed/ctl/log_story.h"

namespace knapweed {
namespace {

// Logs of two gateways.
constexpr char kFirstLog[] =
    R"(ts=2026-06-25T12:29:40.100000 level=info part=watch event="Configuration in force." version=4 row=12 routes=5 workspaces=2 keys=3
ts=2026-06-25T12:29:44.000000 level=info part=store event="Lost the store." way=direct
ts=2026-06-25T12:29:44.200000 level=info part=call event="Call ended." request=k1 route=talk workspace=acme program=p1 status=503 ms=4 runs=0 upstream= reason="history out of reach"
ts=2026-06-25T12:29:46.000000 level=info part=store event="Regained the store." way=direct
ts=2026-06-25T12:29:50.000000 level=info part=quota event="A call is over its workspace's rate." request=r1 workspace=acme rate_per_s=43 own_calls=20 other_calls=220 heard_ms_ago=310 begins_program=0
ts=2026-06-25T12:29:50.001000 level=info part=call event="Call ended." request=r1 route=talk workspace=acme program=p1 status=429 ms=1 runs=0 upstream= reason="over rate"
ts=2026-06-25T12:29:59.900000 level=info part=call event="An attempt broke off." request=u1 upstream=desk-7 events=0 what="no answer"
ts=2026-06-25T12:30:00.000000 level=info part=call event="Call ended." request=u1 route=book workspace=acme program=p2 status=502 ms=400 runs=1 upstream=desk-7 reason="upstream broke off"
this line is not structured
)";
constexpr char kSecondLog[] =
    R"(ts=2026-06-25T12:29:44.100000 level=info part=store event="Lost the store." way=direct
ts=2026-06-25T12:29:59.950000 level=warning part=crashes event="An upstream crashed while running a request." request=u1 digest=77 upstream=desk-7 quarantined=0
ts=2026-06-25T12:29:59.960000 level=info part=watch event="Upstream removed." upstream=desk-7
ts=2026-06-25T12:29:59.970000 level=info part=watch event="Upstream removed." upstream=desk-8
)";

std::vector<LogLine> ReadAllLines() {
  std::vector<LogLine> lines;
  std::istringstream second(kSecondLog);
  std::istringstream first(kFirstLog);
  CHECK(ReadLog("second", second, &lines) == 0);
  CHECK(ReadLog("first", first, &lines) == 1);
  return lines;
}

TEST_CASE("related lines of an id include the cause of its outcome") {
  struct Row {
    std::string id;
    /// Texts that the output contains, in this order.
    std::vector<std::string> expected;
    /// Texts that the output must not contain.
    std::vector<std::string> unexpected;
  };
  const std::vector<Row> rows = {
      {"r1",
       {"Configuration in force.", "Regained the store.", "other_calls=220",
        "status=429"},
       {"desk-7", "request=k1"}},
      {"u1",
       {"An attempt broke off.", "second  crashes: An upstream crashed while",
        "Upstream removed. upstream=desk-7", "status=502"},
       {"desk-8", "status=429", "Configuration in force."}},
      {"k1",
       {"first  store: Lost the store.", "status=503"},
       {"second  store", "Regained"}},
      {"p1", {"status=503", "status=429"}, {"request=u1"}},
  };
  const std::vector<LogLine> lines = ReadAllLines();
  for (const Row& row : rows) {
    CAPTURE(row.id);
    std::ostringstream out;
    PrintTimeline(FindRelatedLines(lines, row.id), out);
    const std::string text = out.str();
    CAPTURE(text);
    size_t from = 0;
    for (const std::string& expected : row.expected) {
      CAPTURE(expected);
      const size_t at = text.find(expected, from);
      CHECK(at != std::string::npos);
      if (at != std::string::npos) from = at;
    }
    for (const std::string& absent : row.unexpected) {
      CAPTURE(absent);
      CHECK(text.find(absent) == std::string::npos);
    }
  }
  CHECK(FindRelatedLines(lines, "nobody").empty());
  CHECK(FindRelatedLines(lines, "").empty());
}

TEST_CASE("ParseLogLine handles quoting, prefixes and malformed lines") {
  struct Row {
    std::string text;
    bool readable;
    std::string key;
    std::string value;
  };
  constexpr char kPrefix[] = "ts=2026-06-25T12:29:44.1 part=a event=b ";
  const std::vector<Row> rows = {
      {std::string(kPrefix) + "k=v", true, "k", "v"},
      {std::string(kPrefix) + R"(k="two words" l=1)", true, "k", "two words"},
      {std::string(kPrefix) + R"(k="a \"b\" \\" l=1)", true, "k", R"(a "b" \)"},
      {std::string(kPrefix) + "k= l=1", true, "k", ""},
      {"node-3 " + std::string(kPrefix) + "k=v", true, "k", "v"},
      {"ts=yesterday part=a event=b k=v", false, "", ""},
      {"part=a event=b", false, "", ""},
      {"ts=2026-06-25T12:29:44.1 part=a", false, "", ""},
      {"", false, "", ""},
  };
  for (const Row& row : rows) {
    CAPTURE(row.text);
    const auto line = ParseLogLine("x", row.text);
    CHECK(line.has_value() == row.readable);
    if (!line.has_value()) continue;
    CHECK(line->Get(row.key) == row.value);
    CHECK(line->source == (row.text.starts_with("node-3") ? "node-3" : "x"));
  }
}

// Runs `write` with standard output redirected to a temporary file and returns
// the output.
std::string CaptureStdout(void (*write)()) {
  FILE* file = tmpfile();
  REQUIRE(file != nullptr);
  fflush(stdout);
  const int saved_stdout = dup(STDOUT_FILENO);
  dup2(fileno(file), STDOUT_FILENO);
  write();
  dup2(saved_stdout, STDOUT_FILENO);
  close(saved_stdout);
  rewind(file);
  std::string text;
  char buf[4096];
  while (const size_t n = fread(buf, 1, sizeof(buf), file)) text.append(buf, n);
  fclose(file);
  return text;
}

TEST_CASE("output of Logger is parsed back without loss") {
  static constexpr char kValue[] = R"(a "quoted" word and \ a backslash\)";
  const std::string text = CaptureStdout([] {
    StartStructuredLog(LogLevel::kInfo);
    constexpr Logger kLog("call");
    kLog.Info("Call ended.", {{"request", "r1"}, {"reason", kValue}, {"n", 7}});
    FlushLog();
  });
  std::istringstream in(text);
  std::vector<LogLine> lines;
  CHECK(ReadLog("x", in, &lines) == 0);
  REQUIRE(lines.size() == 1);
  CHECK(lines[0].part == "call");
  CHECK(lines[0].event == "Call ended.");
  CHECK(lines[0].Get("reason") == kValue);
  CHECK(lines[0].Get("n") == "7");
}

}  // namespace
}  // namespace knapweed
