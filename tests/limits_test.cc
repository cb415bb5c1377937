#include <doctest/doctest.h>

#include <atomic>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "knapweed/limits/bucket_owner.h"
#include "knapweed/limits/fleet_limiter.h"
#include "knapweed/limits/grant_book.h"
#include "knapweed/limits/rate_bucket.h"

namespace knapweed {
namespace {

const WorkspaceId kWorkspace("w");

TEST_CASE("a bucket fills at its rate up to its burst") {
  struct Row {
    Ms at;
    double want;
    bool taken;
    Ms retry_after;
  };
  const std::vector<Row> rows = {
      {Ms{0}, 1, false, Ms{500}},      {Ms{499}, 1, false, Ms{1}},
      {Ms{500}, 1, true, Ms{0}},       {Ms{500}, 1, false, Ms{500}},
      {Ms{5000}, 4, false, Ms{60000}}, {Ms{5000}, 3, true, Ms{0}},
      {Ms{4000}, 1, false, Ms{500}},
  };
  RateBucket bucket = MakeEmptyBucket(2, 3, Ms{0});
  for (const Row& row : rows) {
    CAPTURE(row.at.count);
    const TakeResult take = TakeTokens(bucket, row.want, row.at);
    CHECK(take.taken == row.taken);
    CHECK(take.retry_after == row.retry_after);
  }
  ReturnTokens(bucket, 10, Ms{5000});
  CHECK(bucket.tokens == 3);
}

TEST_CASE("a bucket earns the same tokens on every architecture") {
  std::mt19937_64 random(1);
  std::uniform_int_distribution<int> thousandths(1, 100'000);
  for (int i = 0; i < 1000; ++i) {
    CAPTURE(i);
    const double rate_per_s = thousandths(random) / 1000.0;
    const double tokens = thousandths(random) / 1000.0;
    const Ms span{thousandths(random)};
    RateBucket bucket{rate_per_s, 1e6, tokens, Ms{0}};
    FillBucket(bucket, span);
    // Stored, the product is rounded before the sum, whatever the processor.
    const volatile double earned = span.Seconds() * rate_per_s;
    CHECK(bucket.tokens == tokens + earned);
  }
}

TEST_CASE("late use of grants is deducted from the burst") {
  const std::vector<RateLimit> rows = {{20, 40},   {2.5, 5}, {1, 1},
                                       {100, 1},   {100, 6}, {500, 1000},
                                       {0.01, 10}, {1, 1.2}, {1000, 1000}};
  for (const RateLimit& row : rows) {
    CAPTURE(row.rate_per_s);
    CAPTURE(row.burst);
    const BucketPlan plan = PlanBucket(row);
    CHECK(plan.cap >= 1);
    CHECK(plan.rate_per_s > 0);
    CHECK(plan.rate_per_s <= row.rate_per_s);
    // All tokens granted within `valid` may be used at its end.
    const double late = plan.rate_per_s * plan.valid.Seconds();
    if (plan.cap > 1) CHECK(plan.cap + late <= row.burst);
    if (plan.cap == 1 && row.burst < 1 + row.rate_per_s * 0.05)
      CHECK(1 / plan.rate_per_s >= 1 / row.rate_per_s + plan.valid.Seconds());
  }
}

/// A bucket owner whose lease and limit the test sets.
struct OwnerFixture {
  std::optional<BucketLease> lease = BucketLease{Ms{0}, Seconds(100), 1};
  std::optional<RateLimit> limit = RateLimit{10, 21};
  BucketOwner owner{{[this](const WorkspaceId&) { return lease; },
                     [this](const WorkspaceId&) { return limit; }}};

  uint32_t Take(Ms now, uint32_t want = 1, Ms wait = Ms{0}) {
    const auto response = owner.Take({kWorkspace, want, wait}, now);
    return response.ok() ? response->granted : 0;
  }
  /// Takes all available tokens and returns their number.
  uint32_t Drain(Ms now) {
    uint32_t n = 0;
    while (Take(now) == 1) ++n;
    return n;
  }
};

TEST_CASE("a new owner starts with an empty bucket") {
  OwnerFixture fixture;
  fixture.lease->since = Seconds(10);
  CHECK(fixture.Drain(Seconds(10)) == 0);
  CHECK(fixture.Drain(Seconds(10) + Ms{500}) == 5);
  fixture.lease = BucketLease{Seconds(20), Seconds(30), 2};
  CHECK(fixture.Drain(Seconds(20)) == 0);
  CHECK(fixture.Drain(Seconds(21)) == 10);
  CHECK(fixture.Drain(Seconds(30)) == 0);
  fixture.lease.reset();
  CHECK(absl::IsFailedPrecondition(
      fixture.owner.Take({kWorkspace, 1, Ms{0}}, Seconds(25)).status()));
  fixture.lease = BucketLease{Seconds(20), Seconds(30), 2};
  fixture.limit.reset();
  CHECK(absl::IsNotFound(
      fixture.owner.Take({kWorkspace, 1, Ms{0}}, Seconds(25)).status()));
}

TEST_CASE("waiting callers are granted tokens in order") {
  OwnerFixture fixture;
  fixture.lease->until = Ms{350};
  struct Row {
    Ms wait;
    uint32_t granted;
    Ms start_after;
    Ms retry_after;
  };
  const std::vector<Row> rows = {
      {Seconds(5), 1, Ms{100}, Ms{0}}, {Ms{199}, 0, Ms{0}, Ms{200}},
      {Ms{200}, 1, Ms{200}, Ms{0}},    {Seconds(5), 1, Ms{300}, Ms{0}},
      {Seconds(5), 0, Ms{0}, Ms{400}},  // the token would come after the lease
  };
  for (const Row& row : rows) {
    CAPTURE(row.wait.count);
    const auto response = fixture.owner.Take({kWorkspace, 9, row.wait}, Ms{0});
    REQUIRE(response.ok());
    CHECK(response->granted == row.granted);
    CHECK(response->start_after == row.start_after);
    CHECK(response->retry_after == row.retry_after);
  }
  CHECK(fixture.Take(Ms{300}) == 0);
  CHECK(fixture.Take(Ms{349}, 1, Ms{0}) == 0);
}

TEST_CASE("several tokens are granted only while the bucket is nearly full") {
  OwnerFixture fixture;
  const double cap = PlanBucket(*fixture.limit).cap;
  CHECK(fixture.Take(Seconds(50), 64) == static_cast<uint32_t>(cap / 4));
  CHECK(fixture.Take(Seconds(50), 64) == 1);
  CHECK(fixture.Take(Seconds(52), 2) == 2);
  fixture.Drain(Seconds(52));
  CHECK(fixture.Take(Seconds(53), 64) == 1);
}

TEST_CASE("a planned shutdown hands tokens over once, to the next owner only") {
  struct Row {
    std::string name;
    uint64_t epoch;
    bool early;
    uint32_t tokens;
  };
  const std::vector<Row> rows = {
      {"the next owner, handover after its lease began", 2, false, 8},
      {"the next owner, handover before its lease began", 2, true, 8},
      {"a later owner, handover after its lease began", 3, false, 0},
      {"a later owner, handover before its lease began", 3, true, 0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    OwnerFixture old;
    OwnerFixture next;
    REQUIRE(old.Take(Seconds(50)) == 1);
    old.Drain(Seconds(50));
    const auto handover = old.owner.HandOver(kWorkspace, Seconds(50) + Ms{800});
    REQUIRE(handover.has_value());
    CHECK(old.Take(Seconds(60)) == 0);
    CHECK_FALSE(old.owner.HandOver(kWorkspace, Seconds(60)).has_value());
    CHECK(handover->ready_in == Ms{0});
    const Ms start = Seconds(70);
    next.lease = BucketLease{start, Seconds(100), row.epoch};
    if (row.early) next.owner.Accept(*handover, Seconds(69));
    CHECK(next.owner.Take({kWorkspace, 0, Ms{0}}, start).ok());
    if (!row.early) next.owner.Accept(*handover, start);
    CHECK(next.Drain(start) + (row.early && row.tokens > 0 ? 1 : 0) ==
          row.tokens);
  }
}

TEST_CASE("a handover is ready when all waiting callers have started") {
  OwnerFixture fixture;
  fixture.Drain(Seconds(50));
  for (int n = 1; n <= 3; ++n)
    CHECK(fixture.Take(Seconds(50), 1, Seconds(1)) == 1);
  const auto handover = fixture.owner.HandOver(kWorkspace, Seconds(50));
  REQUIRE(handover.has_value());
  CHECK(handover->tokens == 0);
  CHECK(handover->ready_in > Ms{200});
  CHECK(handover->ready_in <= Ms{300});
}

TEST_CASE("withheld shares reduce rate and burst immediately") {
  OwnerFixture fixture;
  fixture.Drain(Seconds(50));
  fixture.owner.SetWithheld(0.6, Seconds(50));
  CHECK(fixture.Drain(Seconds(51)) == 4);
  const double cap = PlanBucket(*fixture.limit).cap;
  CHECK(fixture.Drain(Seconds(90)) == static_cast<uint32_t>(cap * 0.4));
  fixture.owner.SetWithheld(0, Seconds(90));
  CHECK(fixture.Drain(Seconds(90)) == 0);
  CHECK(fixture.Drain(Seconds(91)) == 10);
}

TEST_CASE("a new limit applies from the next request") {
  struct Row {
    RateLimit limit;
    uint32_t at_once;
    uint32_t after_a_second;
  };
  // The bucket was full before, at a capacity of 15.98.
  const std::vector<Row> rows = {
      {{2, 5}, 3, 2}, {{20, 41}, 15, 20}, {{10, 21}, 15, 10}};
  for (const Row& row : rows) {
    CAPTURE(row.limit.rate_per_s);
    OwnerFixture fixture;
    fixture.owner.SetWithheld(0, Seconds(50));
    CHECK(fixture.Take(Seconds(50)) == 1);
    fixture.limit = row.limit;
    CHECK(fixture.Drain(Seconds(50) + Ms{100}) == row.at_once);
    CHECK(fixture.Drain(Seconds(51) + Ms{100}) == row.after_a_second);
  }
}

/// A limiter on a manual clock that advances only when the limiter sleeps or a
/// response is delayed.
struct LimiterFixture {
  Clock clock = Clock::Manual(Seconds(50));
  OwnerFixture owner;
  double share = 0;
  Ms contact_restored_at = Seconds(1000);
  /// Errors of the next requests, in order; the owner handles the ones after.
  std::vector<absl::Status> failures;
  /// Delays of the next responses, in order.
  std::vector<Ms> response_delays;
  int request_count = 0;
  FleetLimiter limiter{{
      [this](const BucketRequest& request, Ms) {
        return RequestTokens(request);
      },
      [this] { return clock.Now() < contact_restored_at ? share : 0; },
      [this](const WorkspaceId&) { return owner.limit; },
      [this] { return clock.Now(); },
      [this](Ms span) { clock.Advance(span); },
  }};

  absl::StatusOr<BucketResponse> RequestTokens(const BucketRequest& request) {
    ++request_count;
    if (!failures.empty()) {
      const absl::Status status = failures.front();
      failures.erase(failures.begin());
      return status;
    }
    auto response = owner.owner.Take(request, clock.Now());
    if (!response_delays.empty()) {
      clock.Advance(response_delays.front());
      response_delays.erase(response_delays.begin());
    }
    return response;
  }
};

TEST_CASE("a call is admitted or refused with the matching error") {
  const absl::Status down = absl::UnavailableError("down");
  const absl::Status late = absl::DeadlineExceededError("late");
  struct Row {
    std::string name;
    std::vector<absl::Status> failures;
    std::vector<Ms> response_delays;
    Ms max_wait;
    uint32_t drained;
    std::optional<ErrorCode> code;
    int request_count;
  };
  const std::vector<Row> rows = {
      {"admitted at once", {}, {}, Ms{0}, 0, std::nullopt, 1},
      {"admitted after a wait", {}, {}, Ms{100}, 99, std::nullopt, 1},
      {"over rate", {}, {}, Ms{1}, 99, ErrorCode::kOverRate, 1},
      {"owner reachable again", {down, late}, {}, Ms{200}, 0, std::nullopt, 3},
      {"owner unreachable",
       {down, down},
       {},
       Ms{60},
       0,
       ErrorCode::kOverloaded,
       2},
      {"owner unreachable, no time to retry",
       {down},
       {},
       Ms{0},
       0,
       ErrorCode::kOverloaded,
       1},
      {"no rule",
       {absl::NotFoundError("")},
       {},
       Ms{200},
       0,
       ErrorCode::kForbidden,
       1},
      {"grant expired on arrival, retried",
       {},
       {Seconds(2)},
       Seconds(3),
       0,
       std::nullopt,
       2},
      {"grant expired on arrival, no time left",
       {},
       {Seconds(2)},
       Seconds(1),
       0,
       ErrorCode::kOverRate,
       1},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    LimiterFixture fixture;
    for (uint32_t n = 0; n < row.drained; ++n) fixture.owner.Take(Seconds(50));
    fixture.failures = row.failures;
    fixture.response_delays = row.response_delays;
    const auto error = fixture.limiter.Admit(kWorkspace, row.max_wait);
    REQUIRE(error.has_value() == row.code.has_value());
    CHECK(fixture.request_count == row.request_count);
    if (!error) continue;
    CHECK(error->code == *row.code);
    CHECK(error->run == RunState::kNotRun);
    CHECK((error->retry_after > Ms{0}) ==
          (error->code != ErrorCode::kForbidden));
  }
}

TEST_CASE("a busy workspace batches its requests and keeps its burst") {
  LimiterFixture fixture;
  fixture.owner.limit = RateLimit{100, 200};
  constexpr int kCalls = 450;
  for (int n = 0; n < kCalls; ++n) {
    CHECK_FALSE(fixture.limiter.Admit(kWorkspace, Ms{0}).has_value());
    fixture.clock.Advance(Ms{20});
  }
  CHECK(fixture.request_count < kCalls / 4);
  const double cap = PlanBucket(*fixture.owner.limit).cap;
  CHECK(fixture.owner.Drain(fixture.clock.Now()) >= cap * 0.75);
}

TEST_CASE("the state of an idle workspace is pruned") {
  GrantBook book;
  CHECK_FALSE(book.UseHeldToken(kWorkspace, Ms{0}));
  CHECK(book.StartRequest(kWorkspace) == 1);
  book.OnResponse(kWorkspace, {3, Ms{0}, Ms{100}, Ms{0}}, Ms{0}, Ms{5});
  CHECK(book.UseHeldToken(kWorkspace, Ms{100}));
  CHECK_FALSE(book.UseHeldToken(kWorkspace, Ms{101}));
  book.Prune(Seconds(10));
  CHECK(book.size() == 1);
  book.Prune(Seconds(11));
  CHECK(book.size() == 0);
}

TEST_CASE("out of contact, only the own share is spent") {
  LimiterFixture fixture;
  fixture.share = 0.25;
  int admitted = 0;
  while (fixture.clock.Now() < Seconds(60)) {
    if (!fixture.limiter.Admit(kWorkspace, Ms{0})) ++admitted;
    fixture.clock.Advance(Ms{10});
  }
  CHECK(fixture.request_count == 0);
  CHECK(admitted <= 10 * 0.25 * 10 + 21 * 0.25);
  CHECK(admitted >= 24);
  CHECK_FALSE(fixture.limiter.Admit(kWorkspace, Ms{0}).has_value());
  // The token of this call comes only after contact is restored, so the call
  // needs a grant from the owner.
  fixture.contact_restored_at = fixture.clock.Now() + Ms{100};
  CHECK_FALSE(fixture.limiter.Admit(kWorkspace, Seconds(2)).has_value());
  CHECK(fixture.request_count == 1);
}

TEST_CASE("concurrent threads are admitted exactly the tokens of the bucket") {
  LimiterFixture fixture;
  std::atomic<uint32_t> admitted{0};
  constexpr int kThreads = 4;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  FleetLimiter limiter({
      [&](const BucketRequest& request, Ms) {
        return fixture.owner.owner.Take(request, Seconds(50));
      },
      [] { return 0.0; },
      [&](const WorkspaceId&) { return fixture.owner.limit; },
      [] { return Seconds(50); },
      [](Ms) {},
  });
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (int n = 0; n < 100; ++n) {
        if (!limiter.Admit(kWorkspace, Ms{0})) ++admitted;
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  CHECK(admitted == static_cast<uint32_t>(PlanBucket({10, 21}).cap));
}

}  // namespace
}  // namespace knapweed
