// Tests of the decisions on requests to upstreams that state a limit.
#include <doctest/doctest.h>

#include <random>
#include <vector>

#include "knapweed/policy/send_limit.h"

namespace knapweed {
namespace {

TEST_CASE("the newest statement about a limit counts") {
  struct Row {
    const char* what;
    StatedLimit known;
    LimitInResponse news;
    std::optional<double> limit;
    bool changed;
  };
  const StatedLimit limited{5.0, Ms{1000}};
  const StatedLimit unlimited{std::nullopt, Ms{1000}};
  const Row rows[] = {
      {"first", {}, {5.0, Ms{5}, Ms{10}}, 5.0, true},
      {"the same again", limited, {5.0, Ms{1010}, Ms{1020}}, 5.0, false},
      {"another value", limited, {4.0, Ms{990}, Ms{1020}}, 4.0, true},
      {"older value", limited, {4.0, Ms{990}, Ms{999}}, 5.0, false},
      {"ended",
       limited,
       {std::nullopt, Ms{1010}, Ms{1020}},
       std::nullopt,
       true},
      {"sent before the limit was known",
       limited,
       {std::nullopt, Ms{990}, Ms{1020}},
       5.0,
       false},
      {"both at once", unlimited, {5.0, Ms{990}, Ms{1000}}, 5.0, true},
      {"still none",
       unlimited,
       {std::nullopt, Ms{990}, Ms{1020}},
       std::nullopt,
       false},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    StatedLimit known = row.known;
    CHECK(MergeResponse(known, row.news) == row.changed);
    CHECK(known.per_s == row.limit);
  }
}

TEST_CASE("a limit that gateways tell each other still ends") {
  // Two gateways that pass the same statement to and fro; each message takes
  // 2 ms and makes it look that much newer.
  constexpr Ms kTransit{2};
  constexpr Ms kObservedAt{1000};
  StatedLimit here{5.0, kObservedAt};
  StatedLimit there;
  for (int i = 0; i < 1000; ++i) {
    MergeTold(there, {here.per_s, here.observed_at + kTransit});
    MergeTold(here, {there.per_s, there.observed_at + kTransit});
  }
  CHECK(here.observed_at < kObservedAt + Ms{10});
  const Ms ended_at = kObservedAt + Ms{50};
  CHECK(MergeTold(here, {std::nullopt, ended_at}));
  CHECK_FALSE(MergeTold(here, {there.per_s, there.observed_at + kTransit}));
  CHECK_FALSE(here.per_s.has_value());
}

TEST_CASE("grants never exceed the rate and a burst, and use them") {
  constexpr Ms kSpan = Seconds(20);
  constexpr Ms kWindow = Seconds(4);
  struct Row {
    double rate;
    Ms max_wait;
    uint64_t most_in_clump;
    // Relative to the rate. Tokens are lost between clumps over the burst.
    double least_used;
  };
  const Row rows[] = {
      {0.5, Ms{0}, 1, 0.85},  {0.5, Ms{400}, 1, 0.85},  {3, Ms{0}, 1, 0.85},
      {3, Ms{400}, 1, 0.85},  {5, Ms{0}, 10, 0.5},      {5, Ms{400}, 10, 0.5},
      {40, Ms{0}, 10, 0.85},  {40, Ms{400}, 10, 0.85},  {700, Ms{0}, 1, 0.85},
      {700, Ms{0}, 10, 0.85}, {700, Ms{400}, 10, 0.85},
  };
  for (const Row& row : rows) {
    const double rate = row.rate;
    const Ms max_wait = row.max_wait;
    CAPTURE(rate);
    CAPTURE(max_wait.count);
    std::mt19937_64 random(7);
    SendSchedule schedule{0, Seconds(100)};
    std::vector<Ms> sent;
    const double mean_clump = (1 + static_cast<double>(row.most_in_clump)) / 2;
    // Requests come in clumps, at three times the rate.
    std::exponential_distribution<double> pause(3 * rate / mean_clump);
    for (double at = 0; at < kSpan.Seconds(); at += pause(random)) {
      const Ms now = Seconds(100) + Ms{static_cast<int64_t>(at * 1000)};
      const auto clump = 1 + static_cast<int>(random() % row.most_in_clump);
      for (int i = 0; i < clump; ++i) {
        const SendGrant grant = GrantSend(schedule, rate, max_wait, now);
        if (grant.granted) {
          CHECK(grant.wait <= max_wait);
          sent.push_back(now + grant.wait);
        } else {
          CHECK(grant.wait > max_wait);
        }
      }
    }
    size_t first = 0;
    size_t most = 0;
    for (size_t i = 0; i < sent.size(); ++i) {
      while (sent[i] - sent[first] >= kWindow) ++first;
      most = std::max(most, i - first + 1);
    }
    const double bound = rate * kWindow.Seconds() + MaxSendBurst(rate) + 1;
    CHECK(static_cast<double>(most) <= bound);
    CHECK(static_cast<double>(sent.size()) >=
          row.least_used * rate * kSpan.Seconds());
  }
}

TEST_CASE("a refused request is told when it can be sent") {
  SendSchedule schedule{0, Seconds(100)};
  Ms now = Seconds(100);
  const SendGrant refused = GrantSend(schedule, 5, Ms{0}, now);
  CHECK_FALSE(refused.granted);
  CHECK(refused.wait == Ms{200});
  now += refused.wait;
  CHECK(GrantSend(schedule, 5, Ms{0}, now).granted);
  // The next two are promised one after the other.
  CHECK(GrantSend(schedule, 5, Ms{400}, now).wait == Ms{200});
  CHECK(GrantSend(schedule, 5, Ms{400}, now).wait == Ms{400});
  CHECK_FALSE(GrantSend(schedule, 5, Ms{400}, now).granted);
}

TEST_CASE("a grant ends soon after its turn") {
  const Ms asked_at = Seconds(100);
  const SendGrant now{true, Ms{0}};
  const SendGrant later{true, Ms{700}};
  CHECK(SendBy(asked_at, now) > asked_at);
  CHECK(SendBy(asked_at, now) <= asked_at + Ms{500});
  CHECK(SendBy(asked_at, later) == SendBy(asked_at, now) + Ms{700});
}

TEST_CASE("a limit of zero admits a request now and then") {
  SendSchedule schedule{0, Seconds(100)};
  int granted = 0;
  for (Ms now = Seconds(100); now < Seconds(130); now += Ms{100}) {
    if (GrantSend(schedule, 0, Ms{0}, now).granted) ++granted;
  }
  CHECK(granted >= 2);
  CHECK(granted <= 6);
}

TEST_CASE("a gateway grants in place of the home only what others leave") {
  struct Row {
    const char* what;
    HomeStatus home;
    bool grants_all;
  };
  const Row rows[] = {
      {"the home", {true, false, Ms{0}}, true},
      {"home answers others", {false, false, Ms{0}}, false},
      {"home silent for a moment", {false, false, Ms{1500}}, false},
      {"home silent for long", {false, false, Ms{2500}}, true},
      {"home stopped", {false, true, Ms{100}}, true},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    const double share = GrantableShare(row.home);
    CHECK((share == 1) == row.grants_all);
    // Home and substitute together stay within what upstreams tolerate.
    if (!row.grants_all) CHECK(1 + share < 1.5);
    CHECK(share > 0);
  }
}

TEST_CASE("the start of a program waits less than its later turns") {
  const LimitedCall start{Ms{4000}, Ms{250}, true};
  const LimitedCall turn{Ms{4000}, Ms{250}, false};
  CHECK(MaxSendWait(start) == Ms{250});
  CHECK(MaxSendWait(turn) == Ms{2000});
  CHECK(MaxSendWait({Ms{400}, Ms{250}, true}) == Ms{100});
  CHECK(MaxSendWait({Ms{0}, Ms{250}, false}) == Ms{0});
}

}  // namespace
}  // namespace knapweed
