// The counts by which a gateway limits the rate of a workspace, over time.
#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "knapweed/gateway/quotas.h"

namespace knapweed::gateway {
namespace {

constexpr Ms kStep{10};

/// Returns the most calls in any window of the platform.
size_t MostInWindow(const std::vector<Ms>& calls, Ms window) {
  size_t most = 0;
  for (size_t from = 0, to = 0; from < calls.size(); ++from) {
    while (to < calls.size() && calls[to] - calls[from] < window) ++to;
    most = std::max(most, to - from);
  }
  return most;
}

TEST_CASE("calls that come all at once fit into every window") {
  struct Row {
    double rate_per_s;
    // The first calls come at this time after the start of a second.
    Ms first_at;
    // Calls come only within this time of each second.
    Ms open_for;
  };
  const Row rows[] = {
      {8, Ms{0}, Ms{1000}},   {8, Ms{490}, Ms{1000}},  {8, Ms{490}, Ms{20}},
      {44, Ms{0}, Ms{1000}},  {44, Ms{240}, Ms{1000}}, {44, Ms{490}, Ms{1000}},
      {44, Ms{490}, Ms{20}},  {120, Ms{0}, Ms{1000}},  {120, Ms{490}, Ms{1000}},
      {120, Ms{740}, Ms{20}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.rate_per_s);
    CAPTURE(row.first_at.count);
    CAPTURE(row.open_for.count);
    Clock clock = Clock::Manual(Seconds(100));
    const QuotaTolerance tolerance;
    Quotas quotas(clock, tolerance);
    Workspace workspace;
    workspace.name = "ws";
    workspace.rate_per_s = row.rate_per_s;
    workspace.burst = row.rate_per_s;
    const double tolerated =
        (row.rate_per_s * tolerance.window.Seconds() + workspace.burst) *
            (1 + tolerance.over_share) +
        tolerance.slack_calls;
    std::vector<Ms> admitted;
    for (Ms passed; passed < Seconds(30); passed += kStep) {
      if (passed.count % 600 == 0) quotas.SetOthers({});
      const Ms in_second{(passed - row.first_at).count % 1000};
      if (passed >= row.first_at && in_second < row.open_for) {
        while (quotas.Take(workspace).allowed) admitted.push_back(clock.Now());
      }
      clock.Advance(kStep);
    }
    const size_t most = MostInWindow(admitted, tolerance.window);
    CHECK(static_cast<double>(most) <= tolerated);
    // What the limit leaves is used.
    const double rate = static_cast<double>(admitted.size()) / 30;
    CHECK(rate >= 0.8 * row.rate_per_s);
  }
}

TEST_CASE("a workspace that asks for several times its rate gets its rate") {
  constexpr Ms kArrivalInterval{10};
  constexpr int kMeasuredS = 60;
  for (const double rate : {8.0, 20.0, 44.0}) {
    CAPTURE(rate);
    Clock clock = Clock::Manual(Seconds(100));
    Quotas quotas(clock, QuotaTolerance{});
    Workspace workspace;
    workspace.name = "ws";
    workspace.rate_per_s = rate;
    workspace.burst = rate;
    // The first two minutes let it learn that a program has one call.
    const Ms measured_from = clock.Now() + Seconds(120);
    const Ms end = measured_from + Seconds(kMeasuredS);
    int admitted = 0;
    for (int i = 0; clock.Now() < end; ++i) {
      if (i % 60 == 0) quotas.SetOthers({});
      const bool allowed =
          quotas.GrantStart(workspace, Ms{0}).allowed &&
          quotas.Take(workspace, ProgramStart::kGranted).allowed;
      if (allowed && clock.Now() >= measured_from) ++admitted;
      clock.Advance(kArrivalInterval);
    }
    CHECK(admitted >= 0.98 * rate * kMeasuredS);
    CHECK(admitted <= 1.1 * rate * kMeasuredS);
  }
}

// Guards against calls refused by an estimate while permits are left.
TEST_CASE("counts refuse no call whose workspace permits bound") {
  struct Row {
    RateBound bound;
    bool allowed;
  };
  for (const Row& row :
       {Row{RateBound::kCounts, false}, Row{RateBound::kPermits, true}}) {
    Clock clock = Clock::Manual(Seconds(100));
    Quotas quotas(clock, QuotaTolerance{}, row.bound);
    Workspace workspace;
    workspace.name = "ws";
    workspace.rate_per_s = 20;
    workspace.burst = 20;
    // Of 152 tolerated calls 40 are left, less than the others are expected to
    // admit until they are heard again.
    WorkspaceUse use;
    use.calls = 112;
    use.admitted_per_s = 30;
    use.demand_per_s = 120;
    quotas.SetOthers(std::vector<UseByWorkspace>{{{"ws", use}}});
    clock.Advance(Ms{600});
    CHECK(quotas.Take(workspace).allowed == row.allowed);
  }
}

TEST_CASE("a restarted gateway goes on publishing the demand it had") {
  Clock clock = Clock::Manual(Seconds(100));
  Quotas quotas(clock, QuotaTolerance{});
  WorkspaceUse use;
  use.calls = 60;
  use.demand_per_s = 20;
  quotas.RestoreUse({{"ws", use}}, Ms{400});
  CHECK(quotas.OwnUse()["ws"].demand_per_s == doctest::Approx(20));
  // Demand that does not go on is forgotten.
  clock.Advance(Seconds(2));
  CHECK(quotas.OwnUse()["ws"].demand_per_s == 0);
}

}  // namespace
}  // namespace knapweed::gateway
