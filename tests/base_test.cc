#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "knapweed/base/clock.h"
#include "knapweed/base/ids.h"
#include "knapweed/base/metrics.h"
#include "knapweed/base/outcome.h"
#include "knapweed/base/resource_use.h"
#include "knapweed/base/settings.h"

namespace knapweed {
namespace {

TEST_CASE("Settings reports each fault with its line number") {
  struct Row {
    std::string text;
    std::string fault;
  };
  const std::vector<Row> rows = {
      {"[a]\nlisten = 127.0.0.1:80\n", ""},
      {"[a]\nlisten = localhost:80\n", "f.ini:2: 'a.listen' is 'localhost:80'"},
      {"[a]\nlisten = 127.0.0.1:0\n", "expected an IP address and port"},
      {"[a]\n", "'a.listen' is missing"},
      {"[a]\nlisten = 127.0.0.1:80\nlease = 5\n",
       "f.ini:3: 'a.lease' is '5'; expected a number"},
      {"[a]\nlisten = 127.0.0.1:80\n\n# x\nn = 11\n", "f.ini:5: 'a.n' is '11'"},
      {"[a]\nlisten = 127.0.0.1:80\nodd = 1\n",
       "f.ini:3: 'a.odd' is not a known setting"},
      {"[a]\nlisten = 127.0.0.1:80\nlisten = 127.0.0.1:81\n",
       "f.ini:3: 'a.listen' is set twice"},
      {"[a]\nlisten\n", "f.ini:2: expected 'key = value'"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.text);
    Settings settings = Settings::Parse(row.text, "f.ini");
    settings.GetAddress("a", "listen");
    settings.GetMs("a", "lease", Seconds(5));
    settings.GetInt("a", "n", 1, 0, 10);
    const std::string message(settings.Check().message());
    if (row.fault.empty()) {
      CHECK(message.empty());
    } else {
      CHECK(message.find(row.fault) != std::string::npos);
    }
  }
}

TEST_CASE("Settings reports only the read error of an unreadable file") {
  Settings settings = Settings::Load("no/such/file.ini");
  settings.GetAddress("a", "listen");
  CHECK(settings.Check().message() ==
        "no/such/file.ini:0: can't be read: No such file or directory");
}

TEST_CASE("Settings parses time spans with their units") {
  struct Row {
    std::string text;
    Ms span;
  };
  const std::vector<Row> rows = {
      {"250ms", Ms{250}}, {"5s", Ms{5000}}, {"2m", Ms{120000}}, {"0ms", Ms{0}}};
  for (const Row& row : rows) {
    CAPTURE(row.text);
    Settings settings =
        Settings::Parse("[a]\nspan = " + row.text + "\n", "f.ini");
    CHECK(settings.GetMs("a", "span", Ms{1}) == row.span);
    CHECK(settings.Check().ok());
  }
}

TEST_CASE("every error code has a unique name and an HTTP error status") {
  std::vector<std::string_view> names;
  for (int i = 0; i < kErrorCodeCount; ++i) {
    const auto code = static_cast<ErrorCode>(i);
    CAPTURE(i);
    for (std::string_view name : names) CHECK(name != ErrorCodeName(code));
    names.push_back(ErrorCodeName(code));
    CHECK(HttpStatusOf(code) >= 400);
  }
}

TEST_CASE("a manual clock moves only when it is advanced") {
  Clock clock = Clock::Manual(Ms{7});
  CHECK(clock.Now() == Ms{7});
  clock.Advance(Seconds(1));
  CHECK(clock.Now() == Ms{1007});
}

TEST_CASE("PartitionOf is stable and depends on the workspace") {
  const ProgramKey a{WorkspaceId("w1"), ProgramId("p")};
  const ProgramKey b{WorkspaceId("w2"), ProgramId("p")};
  CHECK(PartitionOf(a, 1 << 20) == PartitionOf(a, 1 << 20));
  CHECK(PartitionOf(a, 1 << 20) != PartitionOf(b, 1 << 20));
}

TEST_CASE("histogram quantiles are close to the recorded values") {
  Metrics metrics;
  LatencyHistogram& latency = metrics.GetLatency("turn");
  for (int i = 1; i <= 100; ++i) latency.Record(i);
  CHECK(latency.Count() == 100);
  CHECK(latency.Quantile(0.5) >= 50);
  CHECK(latency.Quantile(0.5) <= 57);
  CHECK(latency.Quantile(0.99) >= 99);
}

TEST_CASE("a gauge shows its last value in both formats") {
  Metrics metrics;
  metrics.GetGauge("resident_kb").Set(7);
  metrics.GetGauge("resident_kb").Set(-5);
  CHECK(metrics.ToPrometheus("kw_") == "kw_resident_kb -5\n");
  CHECK(metrics.ToJson().find(R"("gauges":{"resident_kb":-5})") !=
        std::string::npos);
}

TEST_CASE("the use of resources follows what the process does") {
  const ResourceUse before = ReadResourceUse();
  CHECK(before.resident_kb > 0);
  CHECK(before.peak_resident_kb > 0);
  constexpr int64_t kFilledKb = 20000;
  const std::vector<char> filled(kFilledKb * 1024, 'x');
  CHECK(filled.back() == 'x');
  const ResourceUse filled_use = ReadResourceUse();
  CHECK(filled_use.resident_kb >= before.resident_kb + kFilledKb * 9 / 10);
  CHECK(filled_use.peak_resident_kb >= filled_use.resident_kb * 9 / 10);
  while (ReadResourceUse().processor < before.processor + Ms{20}) {
  }
}

}  // namespace
}  // namespace knapweed
