// End-to-end tests of upstreams that send bytes without end: the memory and the
// time that a gateway spends on them, and what callers get.
#include <doctest/doctest.h>

#include <algorithm>

#include "knapweed/base/resource_use.h"
#include "tests/platform/world.h"

namespace knapweed::testing {
namespace {

using Kind = Script::Kind;

// Most memory of one connection to an upstream that sends without end. The
// process holds the gateway and the fakes, which keep nothing of what they
// send.
constexpr int64_t kMaxKbPerConnection = 1024;

/// The most memory of this process above that at its start. Reading the memory
/// costs more than handling an event, so it is read each millisecond at most;
/// the system's own peak counts if it has risen since.
class MemoryWatch {
 public:
  void Sample() {
    const Ms now = clock_.Now();
    if (now == sampled_at_) return;
    sampled_at_ = now;
    const ResourceUse use = ReadResourceUse();
    most_kb_ = std::max(most_kb_, use.resident_kb - start_.resident_kb);
    if (use.peak_resident_kb > start_.peak_resident_kb) {
      most_kb_ = std::max(most_kb_, use.peak_resident_kb - start_.resident_kb);
    }
  }
  int64_t most_kb() const { return most_kb_; }

 private:
  const Clock clock_ = Clock::Steady();
  const ResourceUse start_ = ReadResourceUse();
  Ms sampled_at_;
  int64_t most_kb_ = 0;
};

int64_t FailuresOf(TestCluster& cluster, const FakeServer& server) {
  const nlohmann::json state = nlohmann::json::parse(
      cluster.Get(cluster.configs[0].metrics, "/state"), nullptr, false);
  return static_cast<int64_t>(
      state["upstreams"][server.id()]["failures"].get<double>() * 10);
}

TEST_CASE("bytes without end cost bounded memory and get a true outcome") {
  struct Row {
    const char* what;
    const char* path;
    Kind kind;
    int status;
    bool complete;
    // The call ends long before its deadline.
    bool early;
    bool counts_as_failure;
  };
  const Row rows[] = {
      {"header", "/once/x", Kind::kEndlessHead, 502, true, true, true},
      {"interim", "/once/x", Kind::kEndlessInterim, 502, true, true, true},
      {"body", "/once/x", Kind::kEndlessBody, 200, false, false, true},
      {"chunks", "/once/x", Kind::kEndlessChunks, 200, false, false, true},
      {"chunk extension", "/once/x", Kind::kEndlessChunkExtension, 502, true,
       true, true},
      {"trailer", "/once/x", Kind::kEndlessTrailer, 502, true, true, true},
      {"after the response", "/once/x", Kind::kEndlessExtra, 200, true, true,
       false},
      {"event", "/turn/x", Kind::kEndlessEvent, 200, false, true, true},
      {"events", "/turn/x", Kind::kEndlessEvents, 200, false, true, true},
  };
  constexpr int kCalls = 12;
  const Ms deadline{1200};
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    TestCluster cluster(1, 1);
    FakeServer& server =
        row.path[1] == 't' ? *cluster.engines[0] : *cluster.plain[0];
    server.default_script.kind = row.kind;
    MemoryWatch memory;
    std::vector<std::shared_ptr<CallerResponse>> responses;
    for (int i = 0; i < kCalls; ++i) {
      CallerRequest call = PlainCall(row.path, "e" + std::to_string(i));
      call.headers["Deadline-Ms"] = std::to_string(deadline.count);
      call.headers["Token-Usage"] = "100,40";
      call.discards_body = true;
      responses.push_back(cluster.StartCall(call));
    }
    cluster.RunUntil([&] {
      memory.Sample();
      return std::all_of(responses.begin(), responses.end(),
                         [](const auto& response) { return response->done; });
    });
    CHECK(memory.most_kb() <= kCalls * kMaxKbPerConnection);
    for (const auto& response : responses) {
      CHECK(response->done);
      CHECK(response->status == row.status);
      CHECK(response->complete == row.complete);
      CHECK(response->elapsed < deadline + Ms{500});
      if (row.early) CHECK(response->elapsed < deadline / 2);
    }
    if (row.counts_as_failure) CHECK(FailuresOf(cluster, server) > 0);
    // The connections are closed, so the upstream stops sending.
    cluster.RunFor(Ms{600});
    CHECK(server.open_connections == 0);
  }
}

TEST_CASE("a connection that receives bytes while idle is closed") {
  TestCluster cluster(1, 1);
  FakeServer& server = *cluster.plain[0];
  server.default_script.kind = Kind::kEndlessIdle;
  const int64_t before_kb = ReadResourceUse().resident_kb;
  for (int i = 0; i < 5; ++i) {
    const CallerResponse response =
        cluster.Call(PlainCall("/once/x", "i" + std::to_string(i)));
    CHECK(response.status == 200);
    CHECK(response.body == "body");
    cluster.RunFor(Ms{500});
    CHECK(server.open_connections == 0);
  }
  CHECK(ReadResourceUse().resident_kb - before_kb <= kMaxKbPerConnection);
}

TEST_CASE("bytes without end from one upstream do not delay other calls") {
  for (const Kind kind : {Kind::kEndlessBody, Kind::kEndlessHead}) {
    TestCluster cluster(1, 2);
    cluster.plain[0]->default_script.kind = kind;
    CallerRequest endless = PlainCall("/once/x", "endless");
    std::vector<std::shared_ptr<CallerResponse>> running;
    endless.discards_body = true;
    constexpr size_t kRunning = 4;
    running.reserve(kRunning);
    while (running.size() < kRunning) {
      running.push_back(cluster.StartCall(endless));
    }
    cluster.RunFor(Ms{50});
    for (int i = 0; i < 20; ++i) {
      const CallerResponse response =
          cluster.Call(PlainCall("/turn/x", "n" + std::to_string(i)));
      CHECK(response.complete);
      CHECK(response.elapsed < Ms{250});
    }
  }
}

// Guards against a kept turn that gathers its whole answer to store it.
TEST_CASE("kept turns without end cost bounded memory and others are served") {
  TestCluster cluster(1, 1);
  FakeServer& server = *cluster.engines[0];
  server.default_script.kind = Kind::kEndlessLongEvents;
  constexpr int kCalls = 12;
  MemoryWatch memory;
  std::vector<std::shared_ptr<CallerResponse>> turns;
  for (int i = 0; i < kCalls; ++i) {
    CallerRequest turn = PlainCall("/kept/x", "k" + std::to_string(i));
    turn.discards_body = true;
    turns.push_back(cluster.StartCall(turn));
  }
  cluster.RunUntil([&] {
    memory.Sample();
    return server.received.size() == kCalls;
  });
  const CallerResponse other = cluster.Call(PlainCall("/once/x", "other"));
  CHECK(other.status == 200);
  CHECK(other.body == "body");
  CHECK(other.elapsed < Ms{250});
  cluster.RunUntil([&] {
    memory.Sample();
    return std::all_of(turns.begin(), turns.end(),
                       [](const auto& turn) { return turn->done; });
  });
  CHECK(memory.most_kb() <= kCalls * kMaxKbPerConnection);
  for (const auto& turn : turns) {
    CHECK(turn->done);
    CHECK(turn->status == 200);
    CHECK_FALSE(turn->complete);
  }
  CHECK(FailuresOf(cluster, server) > 0);
  cluster.RunFor(Ms{600});
  CHECK(server.open_connections == 0);
}

TEST_CASE("an idempotent call whose response has no end runs elsewhere") {
  for (const Kind kind : {Kind::kEndlessHead, Kind::kEndlessChunkExtension}) {
    TestCluster cluster(1, 2);
    cluster.plain[0]->default_script.kind = kind;
    for (int i = 0; i < 8; ++i) {
      const CallerResponse response =
          cluster.Call(PlainCall("/safe/x", "s" + std::to_string(i)));
      CHECK(response.status == 200);
      CHECK(response.body == "body");
    }
  }
}

TEST_CASE("a refusal is acted on before its body ends") {
  TestCluster cluster(1, 2);
  cluster.plain[0]->default_script.kind = Kind::kDrippingRefusal;
  for (int i = 0; i < 8; ++i) {
    const CallerResponse response =
        cluster.Call(PlainCall("/once/x", "d" + std::to_string(i)));
    CHECK(response.status == 200);
    CHECK(response.elapsed < Ms{500});
  }
}

TEST_CASE("a large complete body is forwarded whole") {
  TestCluster cluster(1, 1);
  cluster.plain[0]->default_script.kind = Kind::kLarge;
  const CallerResponse response = cluster.Call(PlainCall("/once/x"));
  CHECK(response.status == 200);
  CHECK(response.complete);
  CHECK(response.body == FakeServer::LargeBody());
}

}  // namespace
}  // namespace knapweed::testing
