// Tests of the decisions on requests to cold upstreams.
#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "knapweed/policy/send_limit.h"

namespace knapweed {
namespace {

constexpr Ms kLongUp = Seconds(60);

// Returns the most of the times that lie within one second.
size_t MostInASecond(std::vector<Ms> times) {
  std::sort(times.begin(), times.end());
  size_t first = 0;
  size_t most = 0;
  for (size_t i = 0; i < times.size(); ++i) {
    while (times[i] - times[first] >= Seconds(1)) ++first;
    most = std::max(most, i - first + 1);
  }
  return most;
}

TEST_CASE("only the home grants all of a cold upstream's bound") {
  struct Row {
    const char* what;
    ColdGrantor grantor;
    double share;
  };
  const Row rows[] = {
      {"home", {0, kLongUp, false}, 1},
      {"next", {1, kLongUp, false}, 0.2},
      {"second next", {2, kLongUp, false}, 0.1},
      {"far off", {3, kLongUp, false}, 0},
      {"home, just started", {0, Ms{500}, false}, 0.1},
      {"next, just started", {1, Ms{500}, false}, 0.1},
      {"far off, just started", {300, Ms{500}, false}, 0},
      {"home, stopping", {0, kLongUp, true}, 0},
      {"home, not settled", {0, kLongUp, false, false}, 0.025},
      {"far off, not settled", {3, kLongUp, false, false}, 0},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    CHECK(ColdShare(row.grantor) == row.share);
  }
}

// The load: several gateways grant at once, because they disagree on the home,
// and requests are sent at any time of their grants.
TEST_CASE("all grantors of a cold upstream together keep to its bound") {
  struct Row {
    double per_s;
    std::vector<ColdGrantor> grantors;
  };
  const ColdGrantor home{0, kLongUp, false};
  const ColdGrantor next{1, kLongUp, false};
  const ColdGrantor second{2, kLongUp, false};
  const ColdGrantor restarted{0, Ms{0}, false};
  std::vector<ColdGrantor> all = {home, next, second};
  for (size_t rank = 3; rank < 20; ++rank) {
    all.push_back({rank, kLongUp, false});
  }
  const std::vector<ColdGrantor> after_stop = {restarted, home, next};
  const Row rows[] = {
      {0.5, all},        {3, all},        {20, all},        {200, all},
      {0.5, after_stop}, {3, after_stop}, {20, after_stop}, {200, after_stop},
  };
  for (const Row& row : rows) {
    const double per_s = row.per_s;
    CAPTURE(per_s);
    for (const Ms max_wait : {Ms{0}, Ms{400}}) {
      std::mt19937_64 random(3);
      std::vector<SendSchedule> schedules(row.grantors.size());
      std::vector<Ms> sent;
      for (Ms now = Seconds(100); now < Seconds(103); now += Ms{2}) {
        for (size_t i = 0; i < row.grantors.size(); ++i) {
          const SendGrant grant = GrantColdSend(
              schedules[i], per_s, ColdShare(row.grantors[i]), max_wait, now);
          if (!grant.granted) continue;
          const Ms delay{static_cast<int64_t>(random() % 151)};
          sent.push_back(
              std::min(now + grant.wait + delay, SendBy(now, grant)));
        }
      }
      CHECK(static_cast<double>(MostInASecond(sent)) <= 1.5 * per_s + 5);
      CHECK(static_cast<double>(sent.size()) >= per_s * 2.5);
    }
  }
}

TEST_CASE("a request that needs two grants waits for the later one") {
  const SendGrant now{true, Ms{0}, kGrantTtl};
  const SendGrant soon{true, Ms{40}, kColdGrantTtl};
  const SendGrant refused{false, Ms{300}, kGrantTtl};
  CHECK(BothGrants(now, soon).granted);
  CHECK(BothGrants(now, soon).wait == Ms{40});
  CHECK(BothGrants(now, soon).ttl == kColdGrantTtl);
  CHECK_FALSE(BothGrants(now, refused).granted);
  CHECK(BothGrants(refused, soon).wait == Ms{300});
}

TEST_CASE("many gateways ask for a cold upstream no more often than few") {
  for (const double per_s : {3.0, 20.0}) {
    for (const size_t gateways : {1, 3, 37, 380}) {
      CAPTURE(per_s);
      CAPTURE(gateways);
      const Ms pause = ColdAskPause(per_s, gateways);
      CHECK(pause <= Seconds(10));
      const double asks_per_s =
          static_cast<double>(gateways) / std::max(pause.Seconds(), 0.01);
      if (pause < Seconds(10)) CHECK(asks_per_s <= per_s * 4 * 1.1 + 100);
    }
  }
  CHECK(ColdAskPause(3, 37) > Ms{2900});
  CHECK(ColdAskPause(0.001, 380) == Seconds(10));
}

}  // namespace
}  // namespace knapweed
