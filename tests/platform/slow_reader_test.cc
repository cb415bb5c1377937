// End-to-end tests of callers and upstreams that read slowly or not at all:
// what a gateway holds for them, what others get meanwhile, and which requests
// are refused for lack of memory.
#include <doctest/doctest.h>

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "knapweed/base/resource_use.h"
#include "knapweed/policy/memory_guard.h"
#include "tests/platform/world.h"

namespace knapweed::testing {
namespace {

using Kind = Script::Kind;
namespace asio = gateway::asio;

// Memory of the gateways with a bound: held bytes are at most 16 MB.
constexpr uint64_t kMemoryMb = 32;
constexpr uint64_t kHeldLimitBytes = kMemoryMb << 19;
constexpr int kPeerBufferBytes = 4096;
constexpr uint64_t kLargeBodyBytes = 3 << 20;

// A caller that reads the header of its response and then at most
// `bytes_per_s`, beyond which it has small socket buffers.
struct SlowCaller {
  std::string received;
  uint64_t received_bytes = 0;
  bool open = true;
  bool sent = false;
};
using SlowCallerPtr = std::shared_ptr<SlowCaller>;

std::string RequestText(const std::string& path, const std::string& id,
                        const std::string& body) {
  return "POST " + path + " HTTP/1.1\r\nHost: " + kHost +
         "\r\nKey: key1\r\nRequest-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

gateway::Task<void> RunSlowCaller(TestCluster& cluster, std::string text,
                                  size_t bytes_per_s, SlowCallerPtr caller) {
  gateway::beast::tcp_stream stream(cluster.loop);
  const bool open = co_await gateway::Connect(
      stream, cluster.configs[0].callers, Seconds(1), kPeerBufferBytes);
  if (!open) {
    caller->open = false;
    co_return;
  }
  stream.expires_never();
  gateway::NetErrorCode ec;
  co_await asio::async_write(stream, asio::buffer(text),
                             asio::redirect_error(asio::use_awaitable, ec));
  caller->sent = !ec;
  constexpr Ms kPause{50};
  std::string piece;
  piece.resize(std::max<size_t>(bytes_per_s / 20, 1));
  while (!ec) {
    co_await gateway::Sleep(cluster.loop, kPause);
    if (bytes_per_s == 0) continue;
    const size_t n = co_await stream.async_read_some(
        asio::buffer(piece), asio::redirect_error(asio::use_awaitable, ec));
    caller->received_bytes += n;
    if (caller->received.size() < 512) caller->received.append(piece, 0, n);
  }
  caller->open = false;
}

SlowCallerPtr StartSlowCaller(TestCluster& cluster, const std::string& path,
                              const std::string& id, size_t bytes_per_s,
                              const std::string& body = "input") {
  auto caller = std::make_shared<SlowCaller>();
  gateway::Spawn(
      cluster.loop,
      RunSlowCaller(cluster, RequestText(path, id, body), bytes_per_s, caller));
  return caller;
}

void UseSmallPeerBuffers(TestCluster& cluster) {
  cluster.plain[0]->SetSocketBuffers(kPeerBufferBytes);
}

void AllowLargeBodies(TestCluster& cluster) {
  cluster.Configure([](nlohmann::json& config) {
    config["limits"]["max_body_bytes"] = 4 << 20;
  });
  cluster.RunFor(Ms{2000});
}

uint64_t MetricOf(TestCluster& cluster, const std::string& name) {
  const std::string text = cluster.Get(cluster.configs[0].metrics, "/metrics");
  const size_t at = text.find("\nknapweed_" + name + " ");
  if (at == std::string::npos) return 0;
  return std::stoull(text.substr(text.find(' ', at)));
}

// Bytes that endless responses have brought into the gateway, for each call.
uint64_t BytesPerCall(const TestCluster& cluster, uint64_t calls) {
  uint64_t bytes = 0;
  for (const auto* servers : {&cluster.engines, &cluster.plain}) {
    for (const auto& server : *servers) bytes += server->endless_bytes;
  }
  return bytes / calls;
}

// Without the bound, the kernel's buffers grow to megabytes for each call.
TEST_CASE("answers that nobody reads are not read from the upstream") {
  for (const Kind kind : {Kind::kEndlessBody, Kind::kEndlessLongEvents}) {
    TestCluster cluster(1, 1, 0, kMemoryMb);
    FakeServer& server =
        kind == Kind::kEndlessBody ? *cluster.plain[0] : *cluster.engines[0];
    server.SetSocketBuffers(kPeerBufferBytes);
    server.default_script.kind = kind;
    constexpr int kCalls = 20;
    const std::string path = kind == Kind::kEndlessBody ? "/once/x" : "/turn/x";
    std::vector<SlowCallerPtr> callers;
    callers.reserve(kCalls);
    for (int i = 0; i < kCalls; ++i) {
      callers.push_back(
          StartSlowCaller(cluster, path, "n" + std::to_string(i), 0));
    }
    cluster.RunFor(Ms{1500});
    MESSAGE("bytes per call: ", BytesPerCall(cluster, kCalls));
    CHECK(BytesPerCall(cluster, kCalls) > 0);
    // A body of which much is read before any is sent may take more.
    const uint64_t more = kind == Kind::kEndlessBody ? 128 << 10 : 0;
    CHECK(BytesPerCall(cluster, kCalls) <= kCallBufferBytes + more);
    // Others are served meanwhile.
    const CallerResponse other = cluster.Call(
        PlainCall(kind == Kind::kEndlessBody ? "/turn/x" : "/safe/x"));
    CHECK(other.status == 200);
    CHECK(other.elapsed < Ms{250});
  }
}

TEST_CASE("without the setting nothing is refused or counted") {
  TestCluster cluster(1, 1);
  UseSmallPeerBuffers(cluster);
  cluster.plain[0]->default_script.kind = Kind::kEndlessBody;
  constexpr int kCalls = 100;
  std::vector<SlowCallerPtr> callers;
  callers.reserve(kCalls);
  for (int i = 0; i < kCalls; ++i) {
    callers.push_back(
        StartSlowCaller(cluster, "/once/x", "n" + std::to_string(i), 0));
  }
  cluster.RunFor(Ms{1500});
  CHECK(cluster.plain[0]->received.size() == kCalls);
  MESSAGE("bytes per call: ", BytesPerCall(cluster, kCalls));
  const CallerResponse other = cluster.Call(PlainCall("/turn/x"));
  CHECK(other.status == 200);
  CHECK(MetricOf(cluster, "held_bytes") == 0);
  CHECK(MetricOf(cluster, "memory_refusals_total") == 0);
}

TEST_CASE("beyond the bound new requests are refused and old ones go on") {
  TestCluster cluster(1, 1, 0, kMemoryMb);
  AllowLargeBodies(cluster);
  UseSmallPeerBuffers(cluster);
  cluster.plain[0]->default_script.kind = Kind::kEndlessBody;
  constexpr size_t kFits = kHeldLimitBytes / kCallBufferBytes;
  std::vector<SlowCallerPtr> callers;
  for (size_t i = 0; i < 2 * kFits; ++i) {
    callers.push_back(
        StartSlowCaller(cluster, "/once/x", "n" + std::to_string(i), 0));
  }
  cluster.RunFor(Ms{1500});
  const size_t reached = cluster.plain[0]->received.size();
  CHECK(reached > kFits / 3);
  CHECK(reached <= kFits);
  CHECK(MetricOf(cluster, "held_peak_bytes") <= kHeldLimitBytes);
  CHECK(MetricOf(cluster, "memory_refusals_total") > 0);
  const uint64_t held = MetricOf(cluster, "held_peak_bytes");
  MESSAGE("calls taken: ", reached, ", held at most: ", held);
  // One more, with a body, on a connection that it would keep.
  const std::string refusal = cluster.SendRaw(
      RequestText("/safe/x", "refused", std::string(200000, 'x')));
  CHECK(refusal.starts_with("HTTP/1.1 503"));
  CHECK(refusal.find("Retry-After: ") != std::string::npos);
  CHECK(refusal.find("Request-Id: refused") != std::string::npos);
  CHECK(refusal.find("Connection: close") != std::string::npos);
  for (const ReceivedRequest& request : cluster.plain[0]->received) {
    CHECK(request.Get("Request-Id") != "refused");
  }
  // The calls in progress end with their write time-out, then there is room.
  cluster.plain[0]->default_script.kind = Kind::kPlain;
  cluster.RunFor(Ms{9000});
  CHECK(cluster.Call(PlainCall("/safe/x", "later")).status == 200);
}

// Without the bound, the calls that are not read grow with their number.
TEST_CASE("on the smallest VM calls that are not read stay within the bound") {
  constexpr uint64_t kSmallestVmMb = 88;
  constexpr uint64_t kLimitBytes = kSmallestVmMb << 19;
  constexpr size_t kFits = kLimitBytes / kCallBufferBytes;
  TestCluster cluster(1, 1, 0, kSmallestVmMb);
  cluster.engines[0]->SetSocketBuffers(kPeerBufferBytes);
  cluster.engines[0]->default_script.kind = Kind::kEndlessLongEvents;
  const int64_t before_kb = ReadResourceUse().resident_kb;
  std::vector<SlowCallerPtr> callers;
  for (size_t i = 0; i < 2 * kFits; ++i) {
    callers.push_back(
        StartSlowCaller(cluster, "/turn/x", "n" + std::to_string(i), 0, ""));
  }
  cluster.RunFor(Ms{2000});
  CHECK(cluster.engines[0]->received.size() == kFits);
  const uint64_t peak = MetricOf(cluster, "held_peak_bytes");
  const int64_t grown_kb = ReadResourceUse().resident_kb - before_kb;
  MESSAGE("calls taken: ", cluster.engines[0]->received.size(),
          ", held at most: ", peak, ", process grew by KB: ", grown_kb,
          ", bytes sent per call: ", BytesPerCall(cluster, kFits));
  CHECK(peak <= kLimitBytes);
  CHECK(grown_kb <= static_cast<int64_t>(kLimitBytes >> 10));
  CHECK(BytesPerCall(cluster, kFits) <= kCallBufferBytes);
  CHECK(cluster.Call(PlainCall("/safe/x")).status == 503);
}

TEST_CASE("a refused request without a body keeps its connection") {
  TestCluster cluster(1, 1, 0, kMemoryMb);
  UseSmallPeerBuffers(cluster);
  cluster.plain[0]->default_script.kind = Kind::kNoResponse;
  constexpr size_t kFits = kHeldLimitBytes / kCallBufferBytes;
  std::vector<SlowCallerPtr> callers;
  for (size_t i = 0; i < kFits; ++i) {
    callers.push_back(
        StartSlowCaller(cluster, "/once/x", "n" + std::to_string(i), 0, ""));
  }
  REQUIRE(cluster.RunUntil(
      [&] { return cluster.plain[0]->received.size() == kFits; }));
  const std::string get = std::string("GET /turn/x HTTP/1.1\r\nHost: ") +
                          kHost + "\r\nKey: key1\r\nRequest-Id: g\r\n\r\n";
  const std::string text = cluster.SendRaw(get + get, 0, Ms{300});
  CHECK(text.starts_with("HTTP/1.1 503"));
  CHECK(text.find("HTTP/1.1 503", 10) != std::string::npos);
  CHECK(text.find("Connection: close") == std::string::npos);
}

TEST_CASE("a chunked body is counted as it arrives") {
  TestCluster cluster(1, 1, 0, kMemoryMb);
  AllowLargeBodies(cluster);
  cluster.plain[0]->ignores_bodies = true;
  UseSmallPeerBuffers(cluster);
  // Leaves room for the buffers of one more call and about 1 MB of its body.
  const std::string body(kLargeBodyBytes + (400 << 10), 'x');
  constexpr int kCalls = 4;
  std::vector<SlowCallerPtr> callers;
  callers.reserve(kCalls);
  for (int i = 0; i < kCalls; ++i) {
    callers.push_back(StartSlowCaller(cluster, "/once/x",
                                      "b" + std::to_string(i), 1000, body));
  }
  REQUIRE(
      cluster.RunUntil([&] { return cluster.plain[0]->headers_only == 4; }));
  const auto chunked = [](size_t chunks) {
    std::string text =
        std::string("POST /turn/x HTTP/1.1\r\nHost: ") + kHost +
        "\r\nKey: key1\r\nRequest-Id: c\r\n"
        "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (size_t i = 0; i < chunks; ++i) {
      text += "10000\r\n" + std::string(0x10000, 'y') + "\r\n";
    }
    return text + "0\r\n\r\n";
  };
  const std::string small = cluster.SendRaw(chunked(2));
  CHECK(small.starts_with("HTTP/1.1 200"));
  CHECK(cluster.EngineRequests().size() == 1);
  const std::string large = cluster.SendRaw(chunked(56));
  CHECK(large.starts_with("HTTP/1.1 503"));
  CHECK(large.find("Connection: close") != std::string::npos);
  CHECK(cluster.EngineRequests().size() == 1);
  CHECK(MetricOf(cluster, "memory_refusals_total") == 1);
}

TEST_CASE("a caller that reads slowly gets its whole answer") {
  // Its 256 KB take longer than the write time-out of 8 s.
  TestCluster cluster(1, 1, 0, kMemoryMb);
  cluster.Configure([](nlohmann::json& config) {
    for (auto& route : config["routes"]) route["timeout_ms"] = 60000;
  });
  cluster.RunFor(Ms{2000});
  UseSmallPeerBuffers(cluster);
  cluster.plain[0]->default_script.kind = Kind::kMedium;
  const SlowCallerPtr caller =
      StartSlowCaller(cluster, "/once/x", "slow", 16000);
  cluster.RunUntil(
      [&] { return caller->received_bytes >= FakeServer::kMediumBytes; },
      Seconds(25));
  CHECK(caller->received.starts_with("HTTP/1.1 200"));
  CHECK(caller->received_bytes >= FakeServer::kMediumBytes);
}

TEST_CASE("a caller that reads nothing ends with its write time-out") {
  TestCluster cluster(1, 1, 0, kMemoryMb);
  cluster.Configure([](nlohmann::json& config) {
    for (auto& route : config["routes"]) route["timeout_ms"] = 60000;
  });
  cluster.RunFor(Ms{2000});
  UseSmallPeerBuffers(cluster);
  cluster.plain[0]->default_script.kind = Kind::kEndlessBody;
  StartSlowCaller(cluster, "/once/x", "none", 0);
  REQUIRE(
      cluster.RunUntil([&] { return MetricOf(cluster, "held_bytes") > 0; }));
  cluster.RunFor(Ms{6000});
  CHECK(MetricOf(cluster, "held_bytes") > 0);
  cluster.RunFor(Ms{4000});
  CHECK(MetricOf(cluster, "held_bytes") == 0);
  CHECK(cluster.plain[0]->open_connections == 0);
}

TEST_CASE("a body that its upstream does not read ends with the deadline") {
  TestCluster cluster(1, 1, 0, kMemoryMb);
  AllowLargeBodies(cluster);
  UseSmallPeerBuffers(cluster);
  cluster.plain[0]->ignores_bodies = true;
  std::vector<std::shared_ptr<CallerResponse>> responses;
  // Four fit within 16 MB, the others are refused.
  constexpr int kCalls = 12;
  constexpr size_t kFits =
      kHeldLimitBytes / (kLargeBodyBytes + kCallBufferBytes);
  for (int i = 0; i < kCalls; ++i) {
    CallerRequest call = PlainCall("/once/x", "u" + std::to_string(i));
    call.body.assign(kLargeBodyBytes, 'x');
    call.headers["Deadline-Ms"] = "1500";
    responses.push_back(cluster.StartCall(call));
  }
  REQUIRE(cluster.RunUntil([&] {
    return cluster.plain[0]->headers_only == static_cast<int>(kFits);
  }));
  const CallerResponse other = cluster.Call(PlainCall("/turn/x"));
  CHECK(other.status == 200);
  CHECK(other.elapsed < Ms{250});
  cluster.RunUntil([&] {
    return std::all_of(responses.begin(), responses.end(),
                       [](const auto& response) { return response->done; });
  });
  size_t given_up = 0;
  for (const auto& response : responses) {
    CHECK(response->complete);
    CHECK((response->status == 503 || response->status == 504));
    if (response->status == 504) ++given_up;
  }
  CHECK(given_up == kFits);
  CHECK(cluster.plain[0]->headers_only == static_cast<int>(kFits));
  const uint64_t peak = MetricOf(cluster, "held_peak_bytes");
  MESSAGE("held at most: ", peak);
  CHECK(peak <= kHeldLimitBytes);
  CHECK(peak > kFits * kLargeBodyBytes);
  CHECK(MetricOf(cluster, "held_bytes") == 0);
  cluster.plain[0]->ignores_bodies = false;
  CHECK(cluster.Call(PlainCall("/once/x", "later")).status == 200);
}

// Segments as large as the socket buffers took 1 s for these 3 MB.
TEST_CASE("bounded buffers do not delay callers and upstreams that read") {
  TestCluster cluster(1, 1, 0, kMemoryMb);
  AllowLargeBodies(cluster);
  cluster.plain[0]->default_script.kind = Kind::kLarge;
  for (int i = 0; i < 6; ++i) {
    CallerRequest call = PlainCall("/once/x", "r" + std::to_string(i));
    call.body.assign(kLargeBodyBytes, 'x');
    const CallerResponse response = cluster.Call(call);
    CHECK(response.status == 200);
    CHECK(response.body == FakeServer::LargeBody());
    CHECK(response.elapsed < Ms{500});
    MESSAGE("ms: ", response.elapsed.count);
  }
}

TEST_CASE("an upstream that refuses before it has the body is believed") {
  TestCluster cluster(1, 2, 0, kMemoryMb);
  AllowLargeBodies(cluster);
  UseSmallPeerBuffers(cluster);
  cluster.plain[0]->refuses_early = true;
  // Which of two idle upstreams gets a call is random.
  constexpr int kLeastCalls = 6;
  constexpr int kMostCalls = 60;
  int calls = 0;
  while (calls < kLeastCalls ||
         (cluster.plain[0]->headers_only == 0 && calls < kMostCalls)) {
    CallerRequest call = PlainCall("/once/x", "r" + std::to_string(calls));
    call.body.assign(kLargeBodyBytes, 'x');
    const CallerResponse response = cluster.Call(call);
    CHECK(response.status == 200);
    CHECK(response.elapsed < Ms{1000});
    ++calls;
  }
  CHECK(cluster.plain[0]->headers_only > 0);
  CHECK(cluster.plain[1]->received.size() == static_cast<size_t>(calls));
}

TEST_CASE("history before the body of a turn counts as held") {
  TestCluster cluster(1, 1, 0, kMemoryMb);
  AllowLargeBodies(cluster);
  CallerRequest first = PlainCall("/kept/x", "first");
  first.body.assign(600 << 10, 'x');
  REQUIRE(cluster.Call(first).complete);
  CHECK(MetricOf(cluster, "held_bytes") == 0);
  const uint64_t peak = MetricOf(cluster, "held_peak_bytes");
  // The turn that is stored counts with its copies.
  const uint64_t copies = MetricOf(cluster, "turn_copies_peak_bytes");
  CHECK(peak >= 600 << 10);
  CHECK(peak + copies >= 4 * (600 << 10));
  CHECK(MetricOf(cluster, "turn_copies_bytes") == 0);
  cluster.engines[0]->default_script.kind = Kind::kNoResponse;
  CallerRequest second = PlainCall("/kept/x", "second");
  second.headers["Previous-Turn"] = "first";
  const auto response = cluster.StartCall(second);
  REQUIRE(
      cluster.RunUntil([&] { return cluster.EngineRequests().size() == 2; }));
  CHECK(MetricOf(cluster, "held_bytes") >= kCallBufferBytes + (600 << 10));
}

}  // namespace
}  // namespace knapweed::testing
