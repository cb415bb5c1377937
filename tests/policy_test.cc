#include <doctest/doctest.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "knapweed/policy/cache_view.h"
#include "knapweed/policy/call_queue.h"
#include "knapweed/policy/load_view.h"
#include "knapweed/policy/placement.h"
#include "knapweed/policy/retry.h"
#include "tests/allocation_count.h"

namespace knapweed {
namespace {

UpstreamView IdleUpstream(uint32_t index) {
  UpstreamView up;
  up.index = index;
  up.slots = 8;
  up.prefill_tokens_per_s = 10000;
  up.decode_tokens_per_s = 50;
  return up;
}

UpstreamView UpstreamWithCache(uint32_t index, uint64_t tokens) {
  UpstreamView up = IdleUpstream(index);
  up.cached_tokens = tokens;
  return up;
}

UpstreamView UpstreamWithBacklog(uint32_t index, uint64_t prefill_tokens) {
  UpstreamView up = IdleUpstream(index);
  up.queued_prefill_tokens = prefill_tokens;
  return up;
}

UpstreamView With(UpstreamView up, uint32_t domain, bool usable, Ms age) {
  up.domain = domain;
  up.usable = usable;
  up.view_age = age;
  return up;
}

UpstreamView UpstreamWithoutSlot(uint32_t index) {
  UpstreamView up = IdleUpstream(index);
  up.running = 8;
  up.queued_decode_tokens = 1600;
  return up;
}

TEST_CASE(
    "a call is placed on the upstream with the earliest expected finish") {
  struct Row {
    std::string name;
    std::vector<UpstreamView> candidates;
    uint32_t home;
    uint32_t picked;
  };
  const std::vector<Row> rows = {
      {"no upstream", {}, kNoUpstream, kNoUpstream},
      {"no usable upstream",
       {With(IdleUpstream(0), 0, false, Ms{0})},
       kNoUpstream,
       kNoUpstream},
      {"the cached prefix",
       {IdleUpstream(0), UpstreamWithCache(1, 9000)},
       kNoUpstream,
       1},
      {"the shorter backlog",
       {UpstreamWithBacklog(0, 30000), UpstreamWithBacklog(1, 20000)},
       kNoUpstream,
       1},
      {"a free slot",
       {UpstreamWithoutSlot(0), IdleUpstream(1)},
       kNoUpstream,
       1},
      {"home with the cached prefix",
       {IdleUpstream(0), UpstreamWithCache(1, 9000)},
       1,
       1},
      {"home with a backlog within the home bonus",
       {IdleUpstream(0), UpstreamWithBacklog(1, 1000)},
       1,
       1},
      {"away from an overloaded home",
       {IdleUpstream(0), UpstreamWithBacklog(1, 90000)},
       1,
       0},
      {"the same failure domain",
       {With(IdleUpstream(0), 1, true, Ms{0}), IdleUpstream(1)},
       kNoUpstream,
       1},
      {"a cached prefix in another failure domain",
       {With(UpstreamWithCache(0, 9000), 1, true, Ms{0}), IdleUpstream(1)},
       kNoUpstream,
       0},
      {"not an idle upstream with stale load figures",
       {With(IdleUpstream(0), 0, true, Seconds(60)),
        UpstreamWithBacklog(1, 100), UpstreamWithBacklog(2, 20000)},
       kNoUpstream,
       1},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    PlacementCall call;
    call.prompt_tokens = 10000;
    call.expected_output_tokens = 200;
    call.home = row.home;
    CHECK(PlaceCall(call, row.candidates).index == row.picked);
  }
}

TEST_CASE("ties are spread over equal upstreams") {
  const std::vector<UpstreamView> candidates = {
      IdleUpstream(0), IdleUpstream(1), IdleUpstream(2)};
  std::map<uint32_t, int> picked;
  for (uint64_t i = 0; i < 300; ++i) {
    PlacementCall call;
    call.prompt_tokens = 1000;
    call.random = i;
    ++picked[PlaceCall(call, candidates).index];
  }
  for (uint32_t index = 0; index < 3; ++index) CHECK(picked[index] > 60);
}

struct CallSpec {
  uint64_t ticket;
  uint64_t workspace;
  uint64_t attained = 0;
  uint64_t cost = 100;
  int64_t queued_at = 0;
  double weight = 1;
  uint64_t workspace_tokens = 0;
  int64_t deadline = 0;
};

QueuedCall MakeCall(const CallSpec& spec) {
  QueuedCall call;
  call.ticket = spec.ticket;
  call.workspace_hash = spec.workspace;
  call.program_hash = spec.ticket;
  call.weight = spec.weight;
  call.attained_tokens = spec.attained;
  call.workspace_tokens = spec.workspace_tokens;
  call.cost_tokens = spec.cost;
  call.queued_at = Ms{spec.queued_at};
  call.deadline = Ms{spec.deadline};
  return call;
}

TEST_CASE("the queue is fair across workspaces and programs") {
  struct Row {
    std::string name;
    std::vector<CallSpec> calls;
    std::vector<uint64_t> order;
  };
  const std::vector<Row> rows = {
      {"empty", {}, {}},
      {"workspaces alternate", {{1, 1}, {2, 1}, {3, 2}, {4, 2}}, {1, 3, 2, 4}},
      {"fair by tokens, not by calls",
       {{1, 1, 0, 1000}, {2, 1, 0, 1000}, {3, 2}, {4, 2}, {5, 2}},
       {1, 3, 4, 5, 2}},
      {"fair by weight",
       {{1, 1, 0, 100, 0, 2},
        {2, 1, 0, 100, 0, 2},
        {3, 1, 0, 100, 0, 2},
        {4, 2, 0, 100},
        {5, 2, 0, 100}},
       {1, 4, 2, 3, 5}},
      {"program with the least attained service first",
       {{1, 1, 9000}, {2, 1, 100}, {3, 1, 500}},
       {2, 3, 1}},
      {"ageing offsets attained service",
       {{1, 1, 9000, 100, 0}, {2, 1, 100, 100, 9500}},
       {1, 2}},
      {"a duplicate ticket is ignored", {{1, 1}, {1, 1}}, {1}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CallQueue queue;
    for (const CallSpec& spec : row.calls) queue.Push(MakeCall(spec));
    std::vector<uint64_t> order;
    while (std::optional<QueuedCall> call = queue.Pop(Ms{10000})) {
      order.push_back(call->ticket);
    }
    CHECK(order == row.order);
    CHECK(queue.size() == 0);
    CHECK(queue.queued_tokens() == 0);
  }
}

TEST_CASE("service by other queues counts, up to max_lead_tokens") {
  CallQueue queue;
  queue.Push(MakeCall({1, 1, 0, 100, 0, 1, 1000}));
  queue.Push(MakeCall({2, 2}));
  queue.Push(MakeCall({3, 1, 0, 100, 0, 1, 1000000000}));
  for (uint64_t i = 0; i < 2000; ++i) queue.Push(MakeCall({10 + i, 2}));
  int before = 0;
  while (queue.Pop(Ms{0})->ticket != 1) ++before;
  CHECK(before > 500);
  CHECK(before <= 1002);
}

TEST_CASE("an idle workspace accumulates no credit") {
  CallQueue queue;
  for (uint64_t i = 0; i < 20; ++i) queue.Push(MakeCall({i, 1}));
  for (int i = 0; i < 10; ++i) queue.Pop(Ms{0});
  for (uint64_t i = 20; i < 40; ++i) queue.Push(MakeCall({i, 2}));
  int newcomer = 0;
  for (int i = 0; i < 10; ++i) {
    newcomer += queue.Pop(Ms{0})->workspace_hash == 2 ? 1 : 0;
  }
  CHECK(newcomer >= 5);
  CHECK(newcomer <= 6);
}

TEST_CASE("tokens charged by Settle delay a workspace") {
  CallQueue queue;
  for (uint64_t i = 0; i < 4; ++i) queue.Push(MakeCall({i, 1 + i % 2}));
  const uint64_t first = queue.Pop(Ms{0})->workspace_hash;
  queue.Settle(first, 1, 1000);
  CHECK(queue.Pop(Ms{0})->workspace_hash != first);
  CHECK(queue.Pop(Ms{0})->workspace_hash != first);
  CHECK(queue.Pop(Ms{0})->workspace_hash == first);
}

TEST_CASE("the backlog of one workspace does not delay other workspaces") {
  CallQueue queue;
  for (uint64_t i = 0; i < 100; ++i) queue.Push(MakeCall({i, 1}));
  queue.Push(MakeCall({100, 2}));
  struct Row {
    uint64_t workspace;
    double weight;
    uint64_t ahead;
  };
  const std::vector<Row> rows = {
      {1, 1, 10100}, {2, 1, 300}, {2, 2, 200}, {3, 1, 200}, {3, 0.01, 10100}};
  for (const Row& row : rows) {
    CAPTURE(row.workspace);
    CAPTURE(row.weight);
    CHECK(queue.TokensAhead(row.workspace, row.weight) == row.ahead);
  }
}

TEST_CASE("cancelled and expired calls are removed from the queue") {
  CallQueue queue;
  queue.Push(MakeCall({1, 1, 0, 100, 0, 1, 0, 50}));
  queue.Push(MakeCall({2, 1, 0, 100, 0, 1, 0, 20}));
  queue.Push(MakeCall({3, 1}));
  CHECK_FALSE(queue.PopExpired(Ms{19}));
  CHECK(queue.PopExpired(Ms{20})->ticket == 2);
  CHECK_FALSE(queue.PopExpired(Ms{49}));
  CHECK(queue.Remove(1));
  CHECK_FALSE(queue.Remove(1));
  CHECK_FALSE(queue.PopExpired(Ms{60}));
  CHECK(queue.Pop(Ms{60})->ticket == 3);
  CHECK_FALSE(queue.Pop(Ms{60}));
}

TEST_CASE("ageing prevents starvation by newer calls") {
  CallQueue queue;
  queue.Push(MakeCall({0, 1, 5000}));
  uint64_t ticket = 1;
  for (int64_t now = 0;; now += 10) {
    queue.Push(MakeCall({ticket++, 1, 0, 100, now}));
    if (queue.Pop(Ms{now})->ticket == 0) break;
    REQUIRE(now <= 5010);
  }
}

TEST_CASE("decisions on the request path do not allocate") {
  std::vector<UpstreamView> candidates;
  for (uint32_t i = 0; i < 730; ++i)
    candidates.push_back(UpstreamWithBacklog(i, i));
  CallQueue queue;
  for (uint64_t i = 0; i < 500; ++i) queue.Push(MakeCall({i, i % 40}));
  CacheView cache;
  LoadView load;
  RetryBudget retries;
  const uint64_t before = AllocationCount();
  for (uint64_t i = 500; i < 5000; ++i) {
    PlacementCall call;
    call.random = i;
    PlaceCall(call, candidates);
    cache.Record({i, 1, 1000, 0, 10}, Ms{0});
    candidates[0].cached_tokens = cache.ExpectedTokens(i, 1);
    AddOwnDispatch(load, {Ms{0}, 10, 10});
    FillLoad(load, Ms{1}, candidates[0]);
    DecideRetry(retries, FailedAttempt{}, Ms{0}, 0.5);
    queue.Push(MakeCall({i, i % 40}));
    queue.Pop(Ms{0});
  }
  CHECK(AllocationCount() - before == 0);
}

}  // namespace
}  // namespace knapweed
