// Tests of the messages about grants and of the ledger that decides on them.
#include <doctest/doctest.h>

#include "knapweed/gateway/announcement.h"
#include "knapweed/gateway/grant_ledger.h"

namespace knapweed::gateway {
namespace {

constexpr Ms kNow = Seconds(100);

GrantRequest RequestWith(std::optional<double> per_s, uint64_t started = 1) {
  GrantRequest request;
  request.record = {"i-1", started, {per_s, kNow - Ms{20}}};
  request.sender = {"10.0.0.1", 80};
  return request;
}

TEST_CASE("messages about grants keep their content and the age of a limit") {
  constexpr Ms kReceivedAt = kNow + Seconds(1000);
  for (const std::optional<double> per_s :
       {std::optional<double>(4.8), std::optional<double>()}) {
    GrantRequest request = RequestWith(per_s, 1700000000000);
    request.max_wait = Ms{300};
    request.wants_grant = false;
    request.forwarded = true;
    const auto decoded =
        DecodeGrantRequest(EncodeGrantRequest(request, kNow), kReceivedAt);
    REQUIRE(decoded.ok());
    CHECK(decoded->record.upstream == "i-1");
    CHECK(decoded->record.started_at_ms == 1700000000000);
    CHECK(decoded->record.limit.per_s == per_s);
    CHECK(decoded->record.limit.observed_at == kReceivedAt - Ms{20});
    CHECK(decoded->max_wait == Ms{300});
    CHECK_FALSE(decoded->wants_grant);
    CHECK(decoded->forwarded);
    CHECK(decoded->sender == request.sender);
    const GrantAnswer answer{{true, Ms{7}}, {per_s, kNow - Ms{5}}};
    const auto read =
        DecodeGrantAnswer(EncodeGrantAnswer(answer, kNow), kReceivedAt);
    REQUIRE(read.ok());
    CHECK(read->grant.granted);
    CHECK(read->grant.wait == Ms{7});
    CHECK(read->limit.per_s == per_s);
    CHECK(read->limit.observed_at == kReceivedAt - Ms{5});
  }
}

TEST_CASE("malformed messages about grants are rejected") {
  const char* rows[] = {
      "",
      "[]",
      "{}",
      R"({"granted":true})",
      R"({"granted":1,"wait_ms":0,"per_s":1,"age_ms":0})",
      R"({"granted":true,"wait_ms":"0","per_s":1,"age_ms":0})",
      R"({"granted":true,"wait_ms":0,"per_s":"fast","age_ms":0})",
      R"({"granted":true,"wait_ms":0,"per_s":-1,"age_ms":0})",
      R"({"granted":true,"wait_ms":0,"age_ms":0})",
  };
  for (const char* text : rows) {
    const std::string what = text;
    CAPTURE(what);
    CHECK_FALSE(DecodeGrantAnswer(text, kNow).ok());
    CHECK_FALSE(DecodeGrantRequest(text, kNow).ok());
  }
}

TEST_CASE("the ledger grants by the newest limit that it has heard of") {
  Clock clock = Clock::Manual(kNow);
  GrantLedger ledger(clock);
  // A schedule starts with one request.
  CHECK(ledger.Decide(RequestWith(5.0), 1).grant.granted);
  CHECK_FALSE(ledger.Decide(RequestWith(5.0), 1).grant.granted);
  clock.Advance(Ms{200});
  CHECK(ledger.Decide(RequestWith(5.0), 1).grant.granted);
  SUBCASE("an end of the limit is told to those that have not heard of it") {
    GrantRequest report = RequestWith(std::nullopt);
    report.record.limit.observed_at = clock.Now();
    report.wants_grant = false;
    ledger.Decide(report, 1);
    const GrantAnswer answer = ledger.Decide(RequestWith(5.0), 1);
    CHECK(answer.grant.granted);
    CHECK_FALSE(answer.limit.per_s.has_value());
    CHECK(ledger.Records().size() == 1);
    clock.Advance(Seconds(6));
    CHECK(ledger.Records().empty());
  }
  SUBCASE("a new incarnation starts anew") {
    const GrantAnswer answer = ledger.Decide(RequestWith(3.0, 2), 1);
    CHECK(answer.limit.per_s == 3.0);
    CHECK(answer.grant.granted);
    CHECK_FALSE(ledger.Decide(RequestWith(3.0, 2), 1).grant.granted);
    // Requests for the earlier one do not use its limit.
    CHECK(ledger.Decide(RequestWith(5.0, 1), 1).grant.granted);
    CHECK(ledger.Records().front().started_at_ms == 2);
  }
  SUBCASE("a part of the limit is granted in place of the home") {
    int granted = 0;
    for (int i = 0; i < 100; ++i) {
      clock.Advance(Ms{100});
      if (ledger.Decide(RequestWith(5.0), 0.2).grant.granted) ++granted;
    }
    CHECK(granted >= 9);
    CHECK(granted <= 13);
  }
  SUBCASE("a report takes no grant") {
    clock.Advance(Ms{200});
    GrantRequest report = RequestWith(5.0);
    report.wants_grant = false;
    for (int i = 0; i < 10; ++i) ledger.Decide(report, 1);
    CHECK(ledger.Decide(RequestWith(5.0), 1).grant.granted);
  }
  SUBCASE("upstreams that nobody asks for are forgotten") {
    clock.Advance(Seconds(61));
    CHECK(ledger.Records().empty());
    CHECK_FALSE(ledger.Knows("i-1"));
  }
}

TEST_CASE("announcements carry limits, and skip malformed ones") {
  Announcement announcement;
  announcement.peer_address = {"10.0.0.1", 80};
  announcement.at = kNow;
  announcement.limits.push_back({"i-1", 7, {4.5, kNow - Ms{30}}});
  announcement.limits.push_back({"i-2", 8, {std::nullopt, kNow}});
  const std::string text = EncodeAnnouncement(announcement);
  const auto decoded = DecodeAnnouncement(text);
  REQUIRE(decoded.ok());
  REQUIRE(decoded->limits.size() == 2);
  CHECK(decoded->limits[0].upstream == "i-1");
  CHECK(decoded->limits[0].started_at_ms == 7);
  CHECK(decoded->limits[0].limit.per_s == 4.5);
  CHECK(decoded->limits[0].limit.observed_at == kNow - Ms{30});
  CHECK_FALSE(decoded->limits[1].limit.per_s.has_value());
  const auto partly = DecodeAnnouncement(
      R"({"address":"10.0.0.1:80","at_ms":5,"limits":
          {"a":[1,2],"b":["x",2,3],"c":[1,2,3],"d":[-1,2,3],"e":3}})");
  REQUIRE(partly.ok());
  REQUIRE(partly->limits.size() == 1);
  CHECK(partly->limits[0].upstream == "c");
  // A build that does not publish limits.
  CHECK(DecodeAnnouncement(R"({"address":"10.0.0.1:80","at_ms":5})")
            ->limits.empty());
}

}  // namespace
}  // namespace knapweed::gateway
