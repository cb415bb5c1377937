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

TEST_CASE("gateways together send no more than an upstream's stated limit") {
  constexpr double kLimitPerS = 3;
  TestCluster cluster(3);
  FakeServer& server = *cluster.plain[0];
  server.limit_per_s = "3";
  const Ms stated_at = Clock::Steady().Now();
  RunLoad(cluster, "/safe/x", Ms{16}, Seconds(9));
  int most = 0;
  int least = INT_MAX;
  for (const ReceivedRequest& request : server.received) {
    if (request.at < stated_at + kJudgedAfter) continue;
    if (request.at > stated_at + Seconds(9) - kWindow) continue;
    const int n = CountInWindow(server, request.at);
    most = std::max(most, n);
    least = std::min(least, n);
  }
  CHECK(most <= MostInWindow(kLimitPerS));
  // The callers ask for several times the limit, so it is used.
  CHECK(least >= 0.7 * kLimitPerS * kWindow.Seconds());
}

}  // namespace
}  // namespace knapweed::testing
