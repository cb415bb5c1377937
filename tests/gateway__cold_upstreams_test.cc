// Tests of cold upstreams: their state, their grants, and the choice among
// upstreams; and of the upstreams of evacuated failure domains.
#include <doctest/doctest.h>

#include "knapweed/gateway/grant_ledger.h"
#include "knapweed/gateway/peers.h"
#include "knapweed/gateway/upstreams.h"

namespace knapweed::gateway {
namespace {

constexpr Ms kNow = Seconds(100);

UpstreamPtr AddUpstream(UpstreamSet& set, const std::string& id,
                        const std::string& domain = "a") {
  UpstreamEntry entry;
  entry.id = id;
  entry.service = "s";
  entry.failure_domain = domain;
  set.Put(entry, 0);
  UpstreamPtr upstream = set.all().at(id);
  upstream->cold.per_s = 4;
  upstream->cold.start = Seconds(20);
  return upstream;
}

ChoiceInput Input(Ms now = kNow) {
  ChoiceInput input;
  input.service = "s";
  input.now = now;
  return input;
}

TEST_CASE("the cold time counts from the first read of a row") {
  UpstreamSet set;
  const UpstreamPtr up = AddUpstream(set, "i-1");
  up->entry.cold_remaining = Ms{5000};
  ReadColdTime(*up, 7, kNow);
  CHECK(up->cold.until == kNow + Ms{5000});
  ReadColdTime(*up, 7, kNow + Ms{3000});
  ReadColdTime(*up, 6, kNow + Ms{3000});
  CHECK(up->cold.until == kNow + Ms{5000});
  up->entry.cold_remaining = Ms{1000};
  ReadColdTime(*up, 8, kNow + Ms{3000});
  CHECK(up->cold.until == kNow + Ms{4000});
  CHECK(IsCold(*up, kNow + Ms{3999}));
  CHECK_FALSE(IsCold(*up, kNow + Ms{4000}));
  up->entry.cold_remaining = Ms{9000};
  ReadColdTime(*up, 9, kNow + Ms{5000});
  CHECK(IsCold(*up, kNow + Ms{13000}));
  up->cold.per_s = 0;
  CHECK_FALSE(IsCold(*up, kNow + Ms{13000}));
}

TEST_CASE("only a row from after a crash ends the suspicion of a restart") {
  UpstreamSet set;
  const UpstreamPtr up = AddUpstream(set, "i-1");
  ReadColdTime(*up, 7, kNow);
  CHECK_FALSE(IsCold(*up, kNow));
  SuspectCold(*up, Seconds(20), kNow);
  CHECK(IsCold(*up, kNow + Ms{19999}));
  ReadColdTime(*up, 8, kNow + Ms{100});
  CHECK(IsCold(*up, kNow + Ms{100}));
  ReadColdTime(*up, 9, kNow + Ms{1300});
  CHECK_FALSE(IsCold(*up, kNow + Ms{1300}));
  SuspectCold(*up, Ms{-5}, kNow + Ms{2000});
  CHECK_FALSE(IsCold(*up, kNow + Ms{2000}));
}

TEST_CASE("calls go round a cold upstream that is used up") {
  struct Row {
    const char* what;
    bool cold;
    bool closed;
    bool without_cold;
    bool may_be_chosen;
  };
  const Row rows[] = {
      {"warm", false, false, false, true},
      {"warm, closed while it was cold", false, true, false, true},
      {"cold", true, false, false, true},
      {"cold and used up", true, true, false, false},
      {"cold, a warm one is wanted", true, false, true, false},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    UpstreamSet set;
    const UpstreamPtr up = AddUpstream(set, "i-1");
    if (row.cold) up->cold.until = kNow + Ms{1000};
    if (row.closed) up->closed_until = kNow + Ms{500};
    ChoiceInput input = Input();
    input.without_cold = row.without_cold;
    CHECK((set.Choose(input, {}) == up) == row.may_be_chosen);
    CHECK((set.FirstToOpen(input, {}) == up) == row.cold);
  }
}

TEST_CASE("calls that must wait spread over the cold upstreams that are open") {
  UpstreamSet set;
  for (const char* id : {"i-1", "i-2", "i-3", "i-4"}) {
    AddUpstream(set, id)->cold.until = kNow + Ms{1000};
  }
  set.all().at("i-4")->closed_until = kNow + Ms{300};
  std::set<UpstreamPtr> chosen;
  ChoiceInput input = Input();
  for (input.random = 1; input.random < 50; ++input.random) {
    chosen.insert(set.FirstToOpen(input, {}));
  }
  CHECK(chosen.size() == 3);
  CHECK_FALSE(chosen.contains(set.all().at("i-4")));
}

TEST_CASE("an evacuation holds for upstreams that are listed or move later") {
  UpstreamSet set;
  const UpstreamPtr before = AddUpstream(set, "i-1", "b");
  set.SetEvacuated({"b", "x"});
  CHECK_FALSE(AcceptsCalls(*before));
  CHECK_FALSE(AcceptsCalls(*AddUpstream(set, "i-2", "b")));
  CHECK(AcceptsCalls(*AddUpstream(set, "i-3", "c")));
  CHECK_FALSE(AcceptsCalls(*AddUpstream(set, "i-3", "x")));
  CHECK(set.Choose(Input(), {}) == nullptr);
  CHECK(set.FirstToOpen(Input(), {}) == nullptr);
  set.SetEvacuated({"x"});
  CHECK(AcceptsCalls(*before));
}

GrantRequest ColdRequest(std::optional<double> stated, double cold_per_s,
                         Ms left, uint64_t started = 1) {
  GrantRequest request;
  request.record = {"i-1", started, {stated, stated ? kNow : Ms{0}}};
  request.sender = {"10.0.0.1", 80};
  request.cold = {cold_per_s, left};
  return request;
}

// Returns how many of 2,000 requests in 20 s are granted.
int CountGranted(const GrantRequest& request, double cold_share = 1) {
  Clock clock = Clock::Manual(kNow);
  GrantLedger ledger(clock);
  int granted = 0;
  for (int i = 0; i < 2000; ++i) {
    if (ledger.Decide(request, 1, cold_share).grant.granted) ++granted;
    clock.Advance(Ms{10});
  }
  return granted;
}

TEST_CASE("the lesser of the stated limit and the cold bound counts") {
  struct Row {
    const char* what;
    GrantRequest request;
    double cold_share;
    int least;
    int most;
  };
  const Ms left = Seconds(60);
  const Row rows[] = {
      {"cold only", ColdRequest({}, 4, left), 1, 75, 84},
      {"limit is less", ColdRequest(2, 4, left), 1, 36, 44},
      {"cold bound is less", ColdRequest(30, 4, left), 1, 75, 84},
      {"in place of the home", ColdRequest({}, 4, left), 0.2, 15, 18},
      {"without a share", ColdRequest({}, 4, left), 0, 0, 0},
      {"not cold", ColdRequest({}, 4, Ms{0}), 0, 2000, 2000},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    const int granted = CountGranted(row.request, row.cold_share);
    CHECK(granted >= row.least);
    CHECK(granted <= row.most);
  }
}

TEST_CASE("a cold upstream's bound also holds for those that don't know it") {
  Clock clock = Clock::Manual(kNow);
  GrantLedger ledger(clock);
  const GrantRequest knows = ColdRequest({}, 4, Seconds(20), 2);
  CHECK(ledger.Decide(knows, 1).grant.granted);
  CHECK(ledger.Decide(knows, 1).grant.ttl == kColdGrantTtl);
  CHECK_FALSE(ledger.Decide(ColdRequest({}, 0, Ms{0}, 2), 1).grant.granted);
  // It may have restarted under the same id.
  CHECK_FALSE(ledger.Decide(ColdRequest({}, 0, Ms{0}, 1), 1).grant.granted);
  clock.Advance(Seconds(6));
  CHECK(ledger.Decide(ColdRequest({}, 0, Ms{0}, 2), 1).grant.granted);
  CHECK(ledger.Decide(ColdRequest({}, 0, Ms{0}, 2), 1).grant.ttl == kGrantTtl);
}

TEST_CASE("messages carry the bound of a cold upstream") {
  GrantRequest request = ColdRequest({}, 4.5, Ms{700});
  const auto decoded =
      DecodeGrantRequest(EncodeGrantRequest(request, kNow), kNow);
  REQUIRE(decoded.ok());
  CHECK(decoded->cold.per_s == 4.5);
  CHECK(decoded->cold.left == Ms{700});
  request.cold = {};
  const auto none = DecodeGrantRequest(EncodeGrantRequest(request, kNow), kNow);
  REQUIRE(none.ok());
  CHECK(none->cold.left == Ms{0});
  const GrantAnswer answer{{true, Ms{7}, kColdGrantTtl}, {}};
  const auto read = DecodeGrantAnswer(EncodeGrantAnswer(answer, kNow), kNow);
  REQUIRE(read.ok());
  CHECK(read->grant.ttl == kColdGrantTtl);
  // Of a gateway of an earlier version.
  const auto old = DecodeGrantAnswer(
      R"({"granted":true,"wait_ms":0,"per_s":null,"age_ms":5})", kNow);
  REQUIRE(old.ok());
  CHECK(old->grant.ttl == kGrantTtl);
  CHECK_FALSE(DecodeGrantRequest(
                  R"({"upstream":"a","started_at_ms":1,"wants_grant":true,
              "max_wait_ms":0,"sender":"10.0.0.1:80","forwarded":false,
              "per_s":null,"age_ms":1,"cold_per_s":"4","cold_left_ms":5})",
                  kNow)
                  .ok());
}

// A gateway that started lately asks because an upstream is cold, and has seen
// none of its responses.
TEST_CASE("a gateway that observed no limit doesn't end a stated one") {
  constexpr Ms kSenderNow = Seconds(2);
  const auto decoded = DecodeGrantRequest(
      EncodeGrantRequest(ColdRequest({}, 4, Seconds(9)), kSenderNow), kNow);
  REQUIRE(decoded.ok());
  StatedLimit known{3.0, kNow - Seconds(20)};
  MergeTold(known, decoded->record.limit);
  CHECK(known.per_s == 3.0);
}

TEST_CASE("the gateways agree on their order for a name") {
  Clock clock = Clock::Manual(kNow);
  std::vector<Address> all;
  for (uint16_t i = 0; i < 5; ++i) all.push_back({"10.0.0.1", i});
  const auto rank_of = [&](const Address& self, const Address& left_out) {
    Peers peers(clock, self);
    std::vector<Address> others = all;
    std::erase(others, self);
    peers.SetOthers(others);
    const size_t rank = peers.RankOf(
        "i-1", [&](const Address& other) { return other != left_out; });
    if (rank == 0 && left_out == Address{}) {
      CHECK(peers.HomeOf("i-1").is_self);
    }
    return rank;
  };
  std::map<size_t, Address> by_rank;
  for (const Address& self : all) by_rank[rank_of(self, {})] = self;
  REQUIRE(by_rank.size() == all.size());
  CHECK(by_rank.rbegin()->first == all.size() - 1);
  CHECK(rank_of(by_rank[2], by_rank[0]) == 1);
  CHECK(rank_of(by_rank[2], by_rank[3]) == 2);
}

}  // namespace
}  // namespace knapweed::gateway
