// End-to-end tests of gateways that send to upstreams which state a limit for
// all gateways together.
#include <doctest/doctest.h>

#include <algorithm>

#include "tests/platform/world.h"

namespace knapweed::testing {
namespace {

// The platform's bound, judged from this time after the limit was first stated.
constexpr Ms kJudgedAfter{3000};
constexpr Ms kWindow{4000};

double MostInWindow(double limit_per_s) {
  return 1.5 * limit_per_s * kWindow.Seconds() + 5;
}

// Returns how many requests reached the server in `kWindow` from `from`.
int CountInWindow(const FakeServer& server, Ms from) {
  return static_cast<int>(
      std::count_if(server.received.begin(), server.received.end(),
                    [&](const ReceivedRequest& request) {
                      return request.at >= from && request.at - from < kWindow;
                    }));
}

// Starts one call each `interval` for `span`, at the gateways in turn.
void RunLoad(TestCluster& cluster, const std::string& path, Ms interval,
             Ms span) {
  const Clock clock = Clock::Steady();
  const Ms until = clock.Now() + span;
  for (int n = 0; clock.Now() < until; ++n) {
    const auto gateways = static_cast<int>(cluster.gateways.size());
    cluster.StartCall(PlainCall(path, path + std::to_string(n)), n % gateways);
    cluster.RunFor(interval);
  }
}

// Most and fewest requests in a window that begins in the span.
struct WindowCounts {
  int most = 0;
  int fewest = INT_MAX;
};

WindowCounts CountWindows(const FakeServer& server, Ms from, Ms until) {
  WindowCounts counts;
  for (const ReceivedRequest& request : server.received) {
    if (request.at < from || request.at > until - kWindow) continue;
    const int n = CountInWindow(server, request.at);
    counts.most = std::max(counts.most, n);
    counts.fewest = std::min(counts.fewest, n);
  }
  return counts;
}

struct Row {
  const char* what;
  bool store_is_away;
  // A gateway stops as planned meanwhile.
  bool one_stops;
  // Least use of the limit, relative to it.
  double least_used;
};

void PlayStatedLimit(const Row& row) {
  constexpr double kLimitPerS = 3;
  constexpr Ms kSpan = Seconds(9);
  const std::string what = row.what;
  CAPTURE(what);
  TestCluster cluster(3);
  // Until all gateways have read of each other.
  cluster.RunFor(Ms{1500});
  cluster.store.faults.unavailable = row.store_is_away;
  FakeServer& server = *cluster.plain[0];
  server.limit_per_s = "3";
  const Ms stated_at = Clock::Steady().Now();
  bool stopped = !row.one_stops;
  const auto shut_down = [&]() -> gateway::Task<void> {
    co_await cluster.gateways[0]->Shutdown();
    stopped = true;
  };
  if (row.one_stops) gateway::Spawn(cluster.loop, shut_down());
  RunLoad(cluster, "/safe/x", Ms{16}, kSpan);
  const WindowCounts counts =
      CountWindows(server, stated_at + kJudgedAfter, stated_at + kSpan);
  CHECK(counts.most <= MostInWindow(kLimitPerS));
  // The callers ask for several times the limit, so it is used.
  CHECK(counts.fewest >= row.least_used * kLimitPerS * kWindow.Seconds());
  cluster.RunUntil([&] { return stopped; });
}

TEST_CASE("gateways together send no more than an upstream's stated limit") {
  PlayStatedLimit({"calm", false, false, 0.7});
  PlayStatedLimit({"store away", true, false, 0.7});
  PlayStatedLimit({"one stops", false, true, 0.5});
}

TEST_CASE("a stated limit is used while a gateway stops in a store outage") {
  PlayStatedLimit({"store away, one stops", true, true, 0.5});
}

TEST_CASE(
    "a gateway that was paused sends nothing by grants that have expired") {
  TestCluster cluster(2, 1);
  cluster.RunFor(Ms{1500});
  FakeServer& server = *cluster.plain[0];
  server.limit_per_s = "5";
  for (const int gateway : {0, 1}) {
    CHECK(cluster.Call(PlainCall("/safe/x", "first"), gateway).status == 200);
  }
  // These wait for grants of the next two seconds.
  std::vector<std::shared_ptr<CallerResponse>> waiting;
  waiting.reserve(10);
  for (int i = 0; i < 10; ++i) {
    waiting.push_back(cluster.StartCall(
        PlainCall("/safe/x", "w" + std::to_string(i)), i % 2));
  }
  cluster.RunFor(Ms{100});
  SleepFor(Ms{3000});
  const size_t before = server.received.size();
  cluster.RunFor(Ms{100});
  // What the schedule holds after a lull, not all that was granted before.
  CHECK(server.received.size() - before <= 4);
}

TEST_CASE("all gateways learn that a limit has ended") {
  TestCluster cluster(3);
  cluster.RunFor(Ms{1500});
  FakeServer& server = *cluster.plain[0];
  server.limit_per_s = "3";
  RunLoad(cluster, "/safe/x", Ms{16}, Seconds(3));
  server.limit_per_s.clear();
  RunLoad(cluster, "/safe/y", Ms{16}, Seconds(3));
  const size_t before = server.received.size();
  RunLoad(cluster, "/safe/z", Ms{16}, Seconds(1));
  // About half of some 60 calls.
  CHECK(server.received.size() - before >= 15);
}

TEST_CASE(
    "calls beyond all limits wait for their turn or are refused at once") {
  TestCluster cluster(2, 1);
  cluster.RunFor(Ms{1500});
  cluster.plain[0]->limit_per_s = "5";
  for (const int gateway : {0, 1}) {
    CHECK(cluster.Call(PlainCall("/safe/x", "first"), gateway).status == 200);
  }
  constexpr int kCalls = 40;
  std::vector<std::shared_ptr<CallerResponse>> responses;
  responses.reserve(kCalls);
  for (int i = 0; i < kCalls; ++i) {
    responses.push_back(cluster.StartCall(
        PlainCall("/safe/x", "c" + std::to_string(i)), i % 2));
  }
  cluster.RunUntil([&] {
    return std::all_of(responses.begin(), responses.end(),
                       [](const auto& response) { return response->done; });
  });
  int served = 0;
  for (const auto& response : responses) {
    if (response->status == 200) {
      ++served;
      continue;
    }
    CHECK(response->status == 503);
    CHECK(!response->fields["Retry-After"].empty());
    CHECK(response->elapsed < Ms{500});
  }
  // Five a second for half of the route's time of 4 s.
  CHECK(served >= 8);
  CHECK(served <= 14);
}

}  // namespace
}  // namespace knapweed::testing
