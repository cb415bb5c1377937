// An engine that sends events without end costs the sidecar bounded memory.
#include <doctest/doctest.h>

#include <atomic>
#include <string>

#include "knapweed/base/resource_use.h"
#include "knapweed/sidecar/upstream_call.h"
#include "standins/free_port.h"
#include "tests/endless_server.h"

namespace knapweed {
namespace {

constexpr Ms kTimeout = Seconds(60);
constexpr int64_t kMaxKb = int64_t{64} << 10;

// Guards against an answer that the sidecar keeps until memory ends.
TEST_CASE("a model call whose answer has no end fails") {
  struct Row {
    const char* what;
    std::string piece;
  };
  const std::string event_head = R"(data: {"choices":[{"delta":{"content":")";
  const std::string event = event_head + std::string(100, 'x') + "\"}}]}\n\n";
  const std::string text = Repeat("x");
  const Row rows[] = {
      {"line", text},
      {"event", "data: " + text + "\n"},
      {"short events", Repeat(event)},
      {"long events", event_head + text + "\"}}]}\n\n"},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    const Address address = FreeLoopbackAddress();
    EndlessServer server(
        address, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", row.piece);
    wire::DispatchT dispatch;
    dispatch.attempt = "a";
    dispatch.model = "m";
    dispatch.body = "{}";
    const int64_t before_kb = ReadResourceUse().peak_resident_kb;
    const std::atomic<bool> cancelled = false;
    UpstreamOutcome outcome;
    {
      HttpClient engine(address);
      outcome = RunModelCall(
          engine, dispatch, kTimeout, [](std::string_view) {}, cancelled);
    }
    REQUIRE(outcome.result.failure != nullptr);
    CHECK(outcome.result.failure->run ==
          static_cast<uint8_t>(RunState::kUnknown));
    CHECK(outcome.result.body.empty());
    CHECK(ReadResourceUse().peak_resident_kb - before_kb <= kMaxKb);
    CHECK(server.WaitForClose());
  }
}

}  // namespace
}  // namespace knapweed
