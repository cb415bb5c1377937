#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "knapweed/policy/admission.h"
#include "knapweed/policy/circuit_breaker.h"
#include "knapweed/policy/quarantine.h"
#include "knapweed/policy/retry.h"

namespace knapweed {
namespace {

FailedAttempt Failed(ErrorCode code, RunState run, bool idempotent) {
  FailedAttempt attempt;
  attempt.code = code;
  attempt.run = run;
  attempt.idempotent = idempotent;
  attempt.deadline = Ms{10000};
  attempt.expected_service = Ms{1000};
  return attempt;
}

TEST_CASE("only calls that did not run or are idempotent run again") {
  struct Row {
    RunState run;
    bool idempotent;
    bool again;
  };
  const std::vector<Row> rows = {
      {RunState::kNotRun, false, true},   {RunState::kNotRun, true, true},
      {RunState::kRan, false, false},     {RunState::kRan, true, true},
      {RunState::kUnknown, false, false}, {RunState::kUnknown, true, true}};
  for (const Row& row : rows) {
    CAPTURE(RunStateName(row.run));
    CAPTURE(row.idempotent);
    CHECK(MayRunAgain(row.run, row.idempotent) == row.again);
    RetryBudget budget;
    const FailedAttempt attempt =
        Failed(ErrorCode::kUpstreamFailed, row.run, row.idempotent);
    CHECK(DecideRetry(budget, attempt, Ms{0}, 0.5).retry == row.again);
  }
}

TEST_CASE("errors caused by the caller are not retried") {
  for (int i = 0; i < kErrorCodeCount; ++i) {
    const auto code = static_cast<ErrorCode>(i);
    CAPTURE(ErrorCodeName(code));
    if (IsTransient(code)) CHECK(HttpStatusOf(code) >= 500);
  }
  CHECK_FALSE(IsTransient(ErrorCode::kQuarantined));
  CHECK_FALSE(IsTransient(ErrorCode::kOutcomeUnknown));
  CHECK_FALSE(IsTransient(ErrorCode::kFenced));
}

TEST_CASE("a retry requires attempts, time and budget") {
  struct Row {
    std::string name;
    uint32_t attempts;
    bool begun;
    Ms now;
    Ms retry_after;
    double budget;
    bool retry;
  };
  const std::vector<Row> rows = {
      {"first failure", 1, false, Ms{0}, Ms{0}, 10, true},
      {"last attempt", 3, false, Ms{0}, Ms{0}, 10, false},
      {"response already started", 1, true, Ms{0}, Ms{0}, 10, false},
      {"would end after the deadline", 1, false, Ms{9500}, Ms{0}, 10, false},
      {"retry-after beyond the deadline", 1, false, Ms{0}, Ms{9500}, 10, false},
      {"retry-after within the deadline", 1, false, Ms{0}, Ms{3000}, 10, true},
      {"budget spent", 1, false, Ms{0}, Ms{0}, 0.9, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    FailedAttempt attempt =
        Failed(ErrorCode::kOverloaded, RunState::kNotRun, false);
    attempt.attempts = row.attempts;
    attempt.response_started = row.begun;
    attempt.retry_after = row.retry_after;
    RetryBudget budget{row.budget};
    const RetryDecision decision = DecideRetry(budget, attempt, row.now, 0.5);
    CHECK(decision.retry == row.retry);
    CHECK(budget.tokens == row.budget - (row.retry ? 1 : 0));
    if (row.retry) CHECK(decision.wait >= row.retry_after);
  }
}

TEST_CASE("the retry budget limits retries to a share of first attempts") {
  RetryBudget budget;
  const FailedAttempt attempt =
      Failed(ErrorCode::kUpstreamFailed, RunState::kNotRun, false);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    AddRetryCredit(budget);
    while (DecideRetry(budget, attempt, Ms{0}, 0).retry) ++retries;
  }
  CHECK(retries <= 110);
  CHECK(retries >= 100);
}

TEST_CASE(
    "back-off doubles up to its maximum; the time for the next hop shrinks") {
  struct Row {
    uint32_t attempts;
    Ms longest;
  };
  const std::vector<Row> rows = {
      {1, Ms{50}}, {2, Ms{100}}, {4, Ms{400}}, {7, Ms{2000}}, {90, Ms{2000}}};
  for (const Row& row : rows) {
    CAPTURE(row.attempts);
    CHECK(BackOff(row.attempts, 0) == Ms{0});
    CHECK(BackOff(row.attempts, 0.999) <= row.longest);
    CHECK(BackOff(row.attempts, 0.999) > row.longest * 9 / 10);
  }
  CHECK(TimeForNextHop(Ms{500}, Ms{100}, Ms{50}) == Ms{350});
  CHECK(TimeForNextHop(Ms{500}, Ms{480}, Ms{50}) == Ms{0});
}

TEST_CASE("a circuit breaker opens, allows one probe and closes") {
  CircuitBreaker breaker;
  for (int i = 0; i < 4; ++i) RecordFailure(breaker, Ms{0}, 0);
  CHECK(AllowCall(breaker, Ms{0}));
  RecordFailure(breaker, Ms{0}, 0);
  CHECK_FALSE(AllowCall(breaker, Ms{499}));
  CHECK(AllowCall(breaker, Ms{500}));
  CHECK_FALSE(AllowCall(breaker, Ms{501}));
  RecordFailure(breaker, Ms{600}, 0);
  CHECK_FALSE(AllowCall(breaker, Ms{1599}));
  CHECK(AllowCall(breaker, Ms{1600}));
  RecordSuccess(breaker);
  CHECK(AllowCall(breaker, Ms{1601}));
  CHECK(AllowCall(breaker, Ms{1601}));
}

TEST_CASE(
    "a call is admitted unless the queue is full or its deadline is too "
    "close") {
  struct Row {
    std::string name;
    AdmissionCall call;
    bool admit;
    ErrorCode code;
    Ms retry_after;
  };
  const ErrorCode overloaded = ErrorCode::kOverloaded;
  const ErrorCode late = ErrorCode::kDeadlineExceeded;
  const std::vector<Row> rows = {
      {"no deadline",
       {Ms{5}, Ms{0}, Ms{90000}, Ms{1000}, 500},
       true,
       overloaded,
       Ms{0}},
      {"fits",
       {Ms{0}, Ms{5000}, Ms{3000}, Ms{1000}, 5},
       true,
       overloaded,
       Ms{0}},
      {"late by less than the estimate error",
       {Ms{0}, Ms{5000}, Ms{8000}, Ms{1000}, 5},
       true,
       overloaded,
       Ms{0}},
      {"backlog too long",
       {Ms{0}, Ms{5000}, Ms{20000}, Ms{1000}, 5},
       false,
       overloaded,
       Ms{11000}},
      {"service takes too long",
       {Ms{0}, Ms{500}, Ms{0}, Ms{4000}, 5},
       false,
       late,
       Ms{0}},
      {"deadline already passed",
       {Ms{600}, Ms{500}, Ms{0}, Ms{1}, 5},
       false,
       late,
       Ms{0}},
      {"queue full",
       {Ms{0}, Ms{0}, Ms{7000}, Ms{1}, 10000},
       false,
       overloaded,
       Ms{7000}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const AdmissionDecision decision = DecideAdmission(row.call);
    CHECK(decision.admit == row.admit);
    CHECK(decision.retry_after == row.retry_after);
    if (!row.admit) CHECK(decision.code == row.code);
  }
  CHECK(WillMissDeadline(Ms{900}, Ms{1000}, Ms{100}));
  CHECK_FALSE(WillMissDeadline(Ms{899}, Ms{1000}, Ms{100}));
  CHECK_FALSE(WillMissDeadline(Ms{899}, Ms{0}, Ms{100}));
}

TEST_CASE("crashes of two upstreams quarantine a request") {
  const Ms hour = Seconds(3600);
  struct Row {
    std::string name;
    std::vector<CrashRecord> records;
    Ms now;
    QuarantineVerdict verdict;
  };
  const std::vector<Row> rows = {
      {"no record", {}, Ms{10}, QuarantineVerdict::kClear},
      {"one crash", {{1, 7, Ms{5}}}, Ms{10}, QuarantineVerdict::kSuspect},
      {"the same upstream twice",
       {{1, 7, Ms{5}}, {1, 7, Ms{6}}},
       Ms{10},
       QuarantineVerdict::kSuspect},
      {"two upstreams",
       {{1, 7, Ms{5}}, {1, 8, Ms{6}}},
       Ms{10},
       QuarantineVerdict::kQuarantined},
      {"another digest",
       {{2, 7, Ms{5}}, {2, 8, Ms{6}}},
       Ms{10},
       QuarantineVerdict::kClear},
      {"one expired",
       {{1, 7, Ms{5}}, {1, 8, Ms{60}}},
       hour + Ms{5},
       QuarantineVerdict::kSuspect},
      {"both expired",
       {{1, 7, Ms{5}}, {1, 8, Ms{60}}},
       hour + Ms{60},
       QuarantineVerdict::kClear},
      {"cleared",
       {{1, 7, Ms{5}}, {1, 8, Ms{6}}, {1, 0, Ms{8}, true}},
       Ms{10},
       QuarantineVerdict::kClear},
      {"crashed again after it was cleared",
       {{1, 7, Ms{5}}, {1, 8, Ms{6}}, {1, 0, Ms{8}, true}, {1, 7, Ms{9}}},
       Ms{10},
       QuarantineVerdict::kSuspect},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    std::vector<CrashRecord> records = row.records;
    std::sort(records.begin(), records.end(),
              [](const auto& a, const auto& b) { return a.at < b.at; });
    // Merging in any order, and twice, gives the same verdict.
    std::mt19937 random(1);
    for (int i = 0; i < 20; ++i) {
      Quarantine quarantine;
      for (const CrashRecord& it : records) quarantine.Merge(it);
      for (const CrashRecord& it : records) CHECK_FALSE(quarantine.Merge(it));
      CHECK(quarantine.VerdictOf(1, row.now) == row.verdict);
      Quarantine peer;
      for (const CrashRecord& it : quarantine.Records()) peer.Merge(it);
      CHECK(peer.VerdictOf(1, row.now) == row.verdict);
      std::shuffle(records.begin(), records.end(), random);
    }
  }
}

// Guards against a request that goes on crashing upstreams because those that
// start again under their ids, before their rows tell, count once.
TEST_CASE("reports of one crash count once, a later crash again") {
  struct Row {
    const char* name;
    std::vector<CrashRecord> records;
    QuarantineVerdict verdict;
  };
  constexpr Ms kSpan{1000};
  const Row rows[] = {
      {"reports of one crash by four gateways",
       {{1, 7, Ms{5000}}, {1, 7, Ms{5200}}, {1, 7, Ms{5400}}, {1, 7, Ms{5990}}},
       QuarantineVerdict::kSuspect},
      {"one upstream crashed three times",
       {{1, 7, Ms{5000}}, {1, 7, Ms{6000}}, {1, 7, Ms{7400}}},
       QuarantineVerdict::kQuarantined},
      {"one upstream twice, each reported twice",
       {{1, 7, Ms{5000}}, {1, 7, Ms{5300}}, {1, 7, Ms{6500}}, {1, 7, Ms{6900}}},
       QuarantineVerdict::kSuspect},
      {"two upstreams, one of them twice",
       {{1, 7, Ms{5000}}, {1, 8, Ms{5100}}, {1, 7, Ms{6500}}},
       QuarantineVerdict::kQuarantined},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    std::vector<CrashRecord> records = row.records;
    std::mt19937 random(1);
    for (int i = 0; i < 20; ++i) {
      QuarantineOptions options;
      options.min_upstreams = 3;
      options.crash_span = kSpan;
      Quarantine quarantine(options);
      for (const CrashRecord& it : records) quarantine.Merge(it);
      for (const CrashRecord& it : records) CHECK_FALSE(quarantine.Merge(it));
      CHECK(quarantine.VerdictOf(1, Ms{8000}) == row.verdict);
      Quarantine peer(options);
      for (const CrashRecord& it : quarantine.Records()) peer.Merge(it);
      CHECK(peer.VerdictOf(1, Ms{8000}) == row.verdict);
      std::shuffle(records.begin(), records.end(), random);
    }
  }
}

TEST_CASE("the number of quarantine digests is bounded") {
  QuarantineOptions options;
  options.max_digests = 10;
  Quarantine quarantine(options);
  for (uint64_t i = 1; i <= 100; ++i) {
    quarantine.Merge({i, 1, Ms{static_cast<int64_t>(i)}});
  }
  CHECK(quarantine.size() == 10);
  CHECK(quarantine.VerdictOf(100, Ms{100}) == QuarantineVerdict::kSuspect);
  quarantine.Expire(options.expiry + Ms{100});
  CHECK(quarantine.size() == 0);
}

}  // namespace
}  // namespace knapweed
