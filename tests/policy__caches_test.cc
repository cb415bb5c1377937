#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <vector>

#include "knapweed/policy/cache_move.h"
#include "knapweed/policy/cache_view.h"
#include "knapweed/policy/load_view.h"
#include "knapweed/policy/pins.h"

namespace knapweed {
namespace {

TEST_CASE("a cache is pinned while that is cheaper than recomputing it") {
  struct Row {
    std::string name;
    PinCall call;
    uint64_t pinned;
    double refill;
    bool pin;
  };
  const PinCall paused{ProgramState::kPaused, 10000, Seconds(1)};
  const PinCall long_pause{ProgramState::kPaused, 10000, Seconds(500)};
  const std::vector<Row> rows = {
      {"short pause", paused, 0, 5000, true},
      {"long pause", long_pause, 0, 5000, false},
      {"pause just too long",
       {ProgramState::kPaused, 10000, Seconds(2)},
       0,
       5000,
       false},
      {"long pause with free cache", long_pause, 0, 0, true},
      {"no budget left", paused, 65000, 5000, false},
      {"running", {ProgramState::kRunning, 10000, Ms{0}}, 0, 0, false},
      {"ended", {ProgramState::kEnded, 10000, Ms{0}}, 0, 0, false},
      {"looping", {ProgramState::kLooping, 10000, Ms{0}}, 0, 0, false},
      {"lost", {ProgramState::kLost, 10000, Ms{0}}, 0, 0, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const EngineCacheState cache{100000, row.pinned, row.refill, 8000};
    const PinDecision decision = DecidePin(row.call, cache);
    CHECK(decision.pin == row.pin);
    CHECK((decision.lease > Ms{0}) == row.pin);
  }
}

TEST_CASE("expected tool time follows the measured times") {
  ToolTimes times;
  CHECK(ExpectedRemaining(times, Ms{0}) == Seconds(5));
  for (int i = 0; i < 3; ++i) RecordToolTime(times, Seconds(2));
  CHECK(ExpectedRemaining(times, Ms{0}) == Seconds(2));
  CHECK(ExpectedRemaining(times, Ms{500}) == Ms{1500});
  CHECK(ExpectedRemaining(times, Seconds(60)) == Seconds(60));
}

TEST_CASE("responses and events correct the cache view") {
  CacheView view;
  view.Record({1, 3, 1000, 0, 200}, Ms{100});
  CHECK(view.ExpectedTokens(1, 3) == 1200);
  CHECK(view.ExpectedTokens(1, 4) == 0);
  CHECK(view.ExpectedTokens(2, 3) == 0);

  struct Row {
    std::string name;
    CacheEvent event;
    EventResult result;
    uint64_t expected;
  };
  const std::vector<Row> rows = {
      {"an eviction before the response",
       {3, 1, 1, 0, Ms{50}},
       EventResult::kApplied,
       1200},
      {"shortened later", {3, 2, 1, 800, Ms{150}}, EventResult::kApplied, 800},
      {"a repeated sequence number",
       {3, 2, 1, 0, Ms{300}},
       EventResult::kStale,
       800},
      {"a sequence gap halves the expected tokens",
       {3, 9, 5, 0, Ms{300}},
       EventResult::kGap,
       400},
      {"an eviction", {3, 10, 1, 0, Ms{310}}, EventResult::kApplied, 0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CHECK(view.Apply(row.event) == row.result);
    CHECK(view.ExpectedTokens(1, 3) == row.expected);
  }

  view.Record({1, 3, 1000, 0, 0}, Ms{400});
  view.Record({2, 3, 1000, 0, 0}, Ms{500});
  const std::vector<CacheEvent> entries = {{3, 0, 9, 50, Ms{450}}};
  view.Resync(3, 12, Ms{450}, entries);
  CHECK(view.ExpectedTokens(1, 3) == 0);
  CHECK(view.ExpectedTokens(2, 3) == 1000);
  view.ForgetUpstream(3);
  CHECK(view.Find(2).empty());
}

TEST_CASE("a low hit share lowers the expected tokens") {
  CacheView view;
  view.Record({1, 3, 1000, 0, 0}, Ms{0});
  view.Record({2, 3, 1000, 0, 0}, Ms{0});
  for (int i = 0; i < 20; ++i) view.Record({1, 3, 1000, 0, 0}, Ms{i});
  CHECK(view.ExpectedTokens(2, 3) < 200);
  for (int i = 0; i < 40; ++i) view.Record({1, 3, 1000, 1000, 0}, Ms{i});
  CHECK(view.ExpectedTokens(2, 3) > 900);
}

TEST_CASE("a cache view is bounded") {
  CacheViewOptions options;
  options.max_programs = 100;
  CacheView view(options);
  for (uint64_t i = 0; i < 1000; ++i) {
    view.Record({i, 1, 10, 0, 0}, Ms{0});
    view.Record({0, static_cast<uint32_t>(i % 5), 10, 0, 0}, Ms{0});
  }
  CHECK(view.size() == 100);
  CHECK(view.Find(0).size() == 2);
  CHECK(view.Find(998).size() == 1);
  CHECK(view.Find(900).empty());
}

TEST_CASE("the newest load report is kept and own dispatches are added") {
  LoadView view;
  CHECK(ApplyLoadReport(view, {Ms{100}, 2, 1, 8, 500, 300, 1000, 50}));
  AddOwnDispatch(view, {Ms{150}, 70, 7});
  AddOwnDispatch(view, {Ms{250}, 30, 3});
  UpstreamView up;
  FillLoad(view, Ms{300}, up);
  CHECK(up.queued_prefill_tokens == 600);
  CHECK(up.queued_decode_tokens == 310);
  CHECK(up.queued == 3);
  CHECK(up.view_age == Ms{200});
  CHECK_FALSE(ApplyLoadReport(view, {Ms{90}, 0, 0, 8, 0, 0, 1000, 50}));
  CHECK(ApplyLoadReport(view, {Ms{200}, 2, 1, 8, 500, 300, 1000, 50}));
  FillLoad(view, Ms{300}, up);
  CHECK(up.queued_prefill_tokens == 530);
  for (int i = 0; i < 100; ++i) AddOwnDispatch(view, {Ms{300 + i}, 10, 1});
  FillLoad(view, Ms{400}, up);
  CHECK(up.queued_prefill_tokens == 1530);
}

TEST_CASE("a cache is moved when that makes the prefix available soonest") {
  struct Row {
    std::string name;
    Ms home_wait;
    Ms other_wait;
    double link;
    bool can_transfer;
    CacheMove move;
  };
  const double fast = 1e9;
  const double slow = 1e6;
  const std::vector<Row> rows = {
      {"home is free", Ms{0}, Ms{0}, fast, true, CacheMove::kStay},
      {"home a little busy", Ms{200}, Ms{0}, fast, true, CacheMove::kStay},
      {"fast link", Ms{3000}, Ms{0}, fast, true, CacheMove::kTransfer},
      {"slow link", Ms{3000}, Ms{0}, slow, true, CacheMove::kRecompute},
      {"no transfer", Ms{3000}, Ms{0}, fast, false, CacheMove::kRecompute},
      {"busy everywhere", Ms{3000}, Ms{2900}, fast, true, CacheMove::kStay},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const CacheMoveCall call{10000,   row.home_wait,   row.other_wait,
                             10000,   10000,           row.link,
                             Ms{100}, row.can_transfer};
    CHECK(DecideCacheMove(call).move == row.move);
  }
}

}  // namespace
}  // namespace knapweed
