// Tests of the gateway's decisions, without a network.
#include <doctest/doctest.h>

#include <algorithm>

#include "knapweed/gateway/announcement.h"
#include "knapweed/gateway/budgets.h"
#include "knapweed/gateway/event_splitter.h"
#include "knapweed/gateway/fleet_config.h"
#include "knapweed/gateway/peers.h"
#include "knapweed/gateway/quotas.h"
#include "knapweed/gateway/row_sweeper.h"
#include "knapweed/gateway/turns.h"
#include "knapweed/gateway/upstreams.h"

namespace knapweed::gateway {
namespace {

TEST_CASE("the longest matching prefix of the host selects the route") {
  FleetConfig config;
  for (const auto& [host, prefix] :
       {std::pair{"a", "/x/"}, {"a", "/x/y/"}, {"b", "/x/"}}) {
    Route route;
    route.name = std::string(host) + prefix;
    route.host = host;
    route.prefix = prefix;
    config.routes.push_back(route);
  }
  IndexRoutes(config);
  struct Row {
    const char* host;
    const char* path;
    const char* route;
  };
  const Row rows[] = {{"a", "/x/1", "a/x/"},   {"a", "/x/y/1", "a/x/y/"},
                      {"a", "/x/y", "a/x/"},   {"b", "/x/y/1", "b/x/"},
                      {"a", "/x/", "a/x/"},    {"a", "/x", nullptr},
                      {"a", "x/y/1", nullptr}, {"a", "", nullptr},
                      {"a", "/z/1", nullptr},  {"c", "/x/1", nullptr}};
  for (const Row& row : rows) {
    const Route* route = FindRoute(config, row.host, row.path);
    const std::string found = route != nullptr ? route->name : "none";
    const std::string expected = row.route != nullptr ? row.route : "none";
    CHECK(found == expected);
  }
}

TEST_CASE(
    "a split route divides calls by weight and keeps a hash on one service") {
  Route route;
  route.services = {{"a", 90}, {"b", 10}};
  int to_b = 0;
  for (uint64_t hash = 0; hash < 1000; ++hash) {
    CHECK(PickService(route, hash) == PickService(route, hash));
    if (PickService(route, hash) == "b") ++to_b;
  }
  CHECK(to_b == 100);
  route.services.clear();
  CHECK(PickService(route, 7).empty());
}

TEST_CASE("events are split without changing a byte, for every chunk size") {
  const std::string bytes =
      "id: 1\ndata: a\n\nid:2\r\ndata: b\r\ndata:c\r\n\r\n:note\n\nid: 3\ndat";
  for (size_t size = 1; size <= bytes.size(); ++size) {
    CAPTURE(size);
    EventSplitter splitter;
    std::string joined;
    std::vector<std::pair<uint64_t, std::string>> events;
    for (size_t at = 0; at < bytes.size(); at += size) {
      CHECK(splitter.Feed(bytes.substr(at, size)));
      StreamEvent event;
      while (splitter.Next(&event)) {
        joined.append(event.raw);
        events.emplace_back(event.id.value_or(0), event.data);
      }
    }
    REQUIRE(events.size() == 3);
    CHECK(events[0] == std::pair<uint64_t, std::string>(1, "a"));
    CHECK(events[1] == std::pair<uint64_t, std::string>(2, "b\nc"));
    CHECK(events[2] == std::pair<uint64_t, std::string>(0, ""));
    CHECK(joined == bytes.substr(0, bytes.size() - 9));
    CHECK(splitter.HasPartialEvent());
  }
}

TEST_CASE("ApplyClaim grants, refuses and sizes allowances") {
  struct Row {
    const char* what;
    uint64_t spent;
    uint64_t elsewhere;
    Ms elsewhere_age;
    uint64_t own_spent;
    uint64_t running;
    uint64_t budget;
    ClaimVerdict verdict;
    uint64_t allowance;
  };
  constexpr auto kGranted = ClaimVerdict::kGranted;
  constexpr auto kExhausted = ClaimVerdict::kExhausted;
  constexpr auto kHeldElsewhere = ClaimVerdict::kHeldElsewhere;
  const Row rows[] = {
      {"exactly enough", 80, 0, Ms{0}, 0, 0, 100, kGranted, 20},
      {"one too many", 81, 0, Ms{0}, 0, 0, 100, kExhausted, 0},
      {"running turns count", 60, 0, Ms{0}, 0, 21, 100, kExhausted, 0},
      {"unwritten spending counts", 60, 0, Ms{0}, 21, 0, 100, kExhausted, 0},
      {"held elsewhere", 60, 30, Ms{0}, 0, 0, 100, kHeldElsewhere, 0},
      {"exhausted even without other allowances", 90, 30, Ms{0}, 0, 0, 100,
       kExhausted, 0},
      {"an expired allowance counts as spent", 60, 30, Seconds(13), 0, 0, 100,
       kExhausted, 0},
      {"ample: half of the rest as extra", 0, 0, Ms{0}, 0, 0, 200, kGranted,
       70},
      {"ample: at most eight extra turns", 0, 0, Ms{0}, 0, 0, 10000, kGranted,
       180},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    const Ms now = Seconds(1000);
    BudgetState state;
    state.spent = row.spent;
    if (row.elsewhere > 0) {
      state.allowances["other"] = {row.elsewhere, now - row.elsewhere_age};
    }
    BudgetClaim claim{"own", row.budget, row.own_spent, row.running, 20, now};
    BudgetState next = DecodeBudget(EncodeBudget(state));
    CHECK(ApplyClaim(claim, next) == row.verdict);
    if (row.verdict == kGranted) {
      CHECK(next.allowances["own"].tokens == row.allowance);
      CHECK(next.spent + row.allowance + row.elsewhere <= row.budget);
    } else {
      CHECK(next.spent == state.spent);
    }
  }
}

TEST_CASE("gateways that know the same peers choose the same home") {
  std::vector<Address> all;
  for (uint16_t port = 80; port < 87; ++port) all.push_back({"10.0.0.1", port});
  const Clock clock = Clock::Manual();
  std::vector<std::unique_ptr<Peers>> gateways;
  for (const Address& self : all) {
    std::vector<Address> others;
    for (const Address& other : all) {
      if (other != self) others.push_back(other);
    }
    gateways.push_back(std::make_unique<Peers>(clock, self));
    gateways.back()->SetOthers(others);
  }
  std::map<Address, int> homes;
  for (int n = 0; n < 700; ++n) {
    const std::string program = "p" + std::to_string(n);
    Address chosen;
    for (size_t i = 0; i < all.size(); ++i) {
      const Home home = gateways[i]->HomeOf(program);
      CHECK(home.is_self == (home.address == all[i]));
      if (chosen == Address{}) chosen = home.address;
      CHECK(home.address == chosen);
    }
    ++homes[chosen];
  }
  CHECK(homes.size() == 7);
  for (const auto& [address, n] : homes) CHECK(n > 50);
}

TEST_CASE("an overloaded workspace stays in its limit despite delayed counts") {
  // Seven gateways that exchange counts every 600 ms. Calls arrive at 0.6 of
  // the rate, then at seven times that, spread unevenly.
  constexpr int kGateways = 7;
  constexpr Ms kStep{10};
  constexpr Ms kExchangeInterval{600};
  constexpr double kTrafficShares[] = {0.3, 0.2, 0.2, 0.1, 0.1, 0.05, 0.05};
  const QuotaTolerance tolerance;
  for (const double rate : {20.0, 43.0, 148.0, 238.0}) {
    CAPTURE(rate);
    Workspace workspace;
    workspace.name = "ws";
    workspace.rate_per_s = rate;
    workspace.burst = rate;
    Clock clock = Clock::Manual(Seconds(100));
    std::vector<std::unique_ptr<Quotas>> gateways;
    gateways.reserve(kGateways);
    for (int i = 0; i < kGateways; ++i) {
      gateways.push_back(std::make_unique<Quotas>(clock, tolerance));
    }
    std::vector<double> due(kGateways, 0);
    std::vector<Ms> admitted;
    int refused_below_rate = 0;
    const Ms begun = clock.Now();
    while (clock.Now() - begun < Seconds(25)) {
      const Ms passed = clock.Now() - begun;
      const bool overloaded = passed > Seconds(10) && passed < Seconds(18);
      const double calls_per_s = rate * 0.6 * (overloaded ? 7 : 1);
      for (int i = 0; i < kGateways; ++i) {
        // Each gateway reads the others' counts at its own offset in the
        // interval.
        const Ms phase = kStep * 8 * i;
        if ((passed + phase).count % kExchangeInterval.count == 0) {
          std::vector<UseByWorkspace> others;
          for (int k = 0; k < kGateways; ++k) {
            if (k != i) others.push_back(gateways[k]->OwnUse());
          }
          gateways[i]->SetOthers(others);
        }
        due[i] += calls_per_s * kTrafficShares[i] * kStep.Seconds();
        for (; due[i] >= 1; due[i] -= 1) {
          if (gateways[i]->Take(workspace).allowed) {
            admitted.push_back(clock.Now());
          } else if (passed > Seconds(1) && passed < Seconds(10)) {
            ++refused_below_rate;
          }
        }
      }
      clock.Advance(kStep);
    }
    const double limit = (rate * tolerance.window.Seconds() + rate) *
                             (1 + tolerance.over_share) +
                         tolerance.slack_calls;
    size_t most = 0;
    for (size_t from = 0, to = 0; from < admitted.size(); ++from) {
      while (to < admitted.size() &&
             admitted[to] - admitted[from] < tolerance.window) {
        ++to;
      }
      most = std::max(most, to - from);
    }
    CHECK(most <= limit);
    // Nothing is refused before the overload, once all gateways have exchanged
    // counts.
    CHECK(refused_below_rate == 0);
  }
}

TEST_CASE("a home grants starts by its own view only while that is fresh") {
  Clock clock = Clock::Manual(Seconds(100));
  Quotas quotas(clock, QuotaTolerance{});
  Workspace limited;
  limited.name = "limited";
  limited.rate_per_s = 10;
  limited.burst = 10;
  Workspace unlimited;
  unlimited.name = "unlimited";
  // No counts of the others were read yet.
  CHECK_FALSE(quotas.GrantStart(limited, Ms{0}).decided);
  CHECK(quotas.GrantStart(unlimited, Ms{0}).allowed);
  quotas.SetOthers({});
  int granted = 0;
  for (int i = 0; i < 20; ++i) {
    const QuotaVerdict verdict = quotas.GrantStart(limited, Ms{0});
    CHECK(verdict.decided);
    if (verdict.allowed) ++granted;
  }
  // 60 calls are the limit of a window, and a program makes about 10.
  CHECK(granted >= 5);
  CHECK(granted <= 7);
  // The process was paused: what it granted is over, but its view is old.
  clock.Advance(Seconds(6));
  CHECK_FALSE(quotas.GrantStart(limited, Ms{0}).decided);
  quotas.SetOthers({});
  CHECK(quotas.GrantStart(limited, Ms{0}).allowed);
}

TEST_CASE("an announcement survives its row, also of an older build") {
  Announcement told;
  told.peer_address = {"10.0.0.1", 80};
  told.at = Seconds(12);
  told.use["ws"] = {7, 2.5, 4.5, 1, 0.5};
  told.use["calm"] = {3, 2, 2, 0, 0};
  const auto same = [](const WorkspaceUse& a, const WorkspaceUse& b) {
    return a.calls == b.calls && a.admitted_per_s == b.admitted_per_s &&
           a.demand_per_s == b.demand_per_s && a.programs == b.programs &&
           a.program_demand_per_s == b.program_demand_per_s;
  };
  const auto read = DecodeAnnouncement(EncodeAnnouncement(told));
  REQUIRE(read.ok());
  CHECK(read->peer_address == told.peer_address);
  CHECK(read->at == told.at);
  CHECK(same(read->use.at("ws"), told.use["ws"]));
  CHECK(same(read->use.at("calm"), told.use["calm"]));
  const auto old = DecodeAnnouncement(
      R"({"address":"10.0.0.1:80","at_ms":1,"use":{"ws":[7,4.5,1,0.5],"x":[1]}})");
  REQUIRE(old.ok());
  CHECK(old->use.size() == 1);
  CHECK(same(old->use.at("ws"), {7, 4.5, 4.5, 1, 0.5}));
  for (const char* bad : {"", "[]", "{}", R"({"address":1,"at_ms":1})",
                          R"({"address":"10.0.0.1:80","at_ms":"x"})"}) {
    CAPTURE(bad);
    CHECK_FALSE(DecodeAnnouncement(bad).ok());
  }
}

TEST_CASE("placement by cache, load, failure domain and failures") {
  struct Row {
    const char* what;
    // State of the candidate; a second upstream is idle.
    uint32_t in_flight;
    bool cached;
    bool draining;
    bool far;
    bool failed;
    bool chosen;
  };
  const Row rows[] = {
      {"cached", 0, true, false, false, false, true},
      {"cached and a little loaded", 2, true, false, false, false, true},
      {"loaded and not cached", 3, false, false, false, false, false},
      {"draining", 0, true, true, false, false, false},
      {"in another failure domain", 0, false, false, true, false, false},
      {"in another failure domain and cached", 0, true, false, true, false,
       true},
      {"failed recently", 0, true, false, false, true, false},
  };
  const PromptPart prompt[] = {{1, 2500}, {2, 1000}};
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    UpstreamSet set;
    for (const char* id : {"candidate", "other"}) {
      UpstreamEntry entry;
      entry.id = id;
      entry.service = "engines";
      entry.failure_domain = "a";
      entry.slots = 12;
      set.Put(entry, 100000);
    }
    Upstream& up = *set.all().at("candidate");
    up.own.calls = row.in_flight;
    up.entry.draining = row.draining;
    if (row.far) up.entry.failure_domain = "b";
    if (row.cached) up.cache.Record(prompt, Ms{1});
    if (row.failed) up.avoid_until = Ms{1000};
    ChoiceInput input;
    input.service = "engines";
    input.failure_domain = "a";
    input.prompt = prompt;
    input.prompt_tokens = 3500;
    input.expected_output_tokens = 32;
    input.random = 5;
    input.now = Ms{500};
    const UpstreamPtr chosen = set.Choose(input, {});
    REQUIRE(chosen != nullptr);
    CHECK((chosen->entry.id == "candidate") == row.chosen);
  }
}

TEST_CASE("ExpiredRows selects expired budgets and turns") {
  const auto budget = [](const char* key, int64_t written_at) {
    Row row;
    row.key = {"budgets", "b1", key};
    row.value = nlohmann::json{{"state", EncodeBudget({5, {}, Ms{written_at}})},
                               {"marks", nlohmann::json::array()}}
                    .dump();
    return row;
  };
  const auto turn = [](const char* key, const char* value) {
    Row row;
    row.key = {"turns", "t1", key};
    row.value = value;
    return row;
  };
  struct Case {
    const char* what;
    SweptTable table;
    std::vector<Row> rows;
    std::vector<std::string> expired;
  };
  // Now is 100,000 ms. Budgets are kept for 50,000 ms after their last write,
  // turns for 20,000 ms after their expiry time.
  const Case cases[] = {
      {"budgets",
       BudgetTable(),
       {budget("old", 40000), budget("used", 60000)},
       {"old"}},
      {"a budget without a write time", BudgetTable(), {budget("new", 0)}, {}},
      {"a row in another format", BudgetTable(), {turn("odd", "{}")}, {}},
      {"turns",
       TurnTable(),
       {turn("a", "70000\nbytes"), turn("b", "90000\nbytes")},
       {"a"}},
      {"all pieces of a long turn expire together",
       TurnTable(),
       {turn("a", "70000\nby"), turn("a~1", "tes"), turn("a~2", "more"),
        turn("ab", "90000\nx"), turn("ab~1", "70000\nx")},
       {"a", "a~1", "a~2"}},
      {"bytes that are not a turn", TurnTable(), {turn("a", "bytes")}, {}},
      {"a further row, starting like an expired one, behind longer ids",
       TurnTable(),
       {turn("a", "90000\nby"), turn("a^0", "90000\nx"), turn("ab", "70000\nx"),
        turn("a~1", "70000\n")},
       {"ab"}},
      {"an id that ends like that of a further row",
       TurnTable(),
       {turn("a", "70000\nx"), turn("a~1", "90000\nx")},
       {"a"}},
  };
  for (const Case& it : cases) {
    const std::string what = it.what;
    CAPTURE(what);
    // All rows in one page, and each in a page of its own.
    for (const size_t page : {it.rows.size(), size_t{1}}) {
      CAPTURE(page);
      std::vector<std::string> expired;
      SweptKeys swept;
      for (size_t at = 0; at < it.rows.size(); at += page) {
        const std::span<const Row> rows(&it.rows[at], page);
        for (const Row* row :
             ExpiredRows(it.table, rows, Ms{100000}, Ms{50000}, swept)) {
          expired.push_back(row->key.key);
        }
      }
      CHECK(expired == it.expired);
    }
  }
}

TEST_CASE("an upstream that restarts under its id gets a new object") {
  UpstreamSet set;
  UpstreamEntry entry;
  entry.id = "i-1";
  entry.service = "engines";
  entry.started_at_ms = 1;
  CHECK(set.Put(entry, 1000));
  const UpstreamPtr before = set.all().at("i-1");
  CHECK_FALSE(set.Put(entry, 1000));
  CHECK(set.all().at("i-1") == before);
  entry.started_at_ms = 2;
  CHECK(set.Put(entry, 1000));
  CHECK(set.all().at("i-1") != before);
  CHECK_FALSE(before->listed);
}

}  // namespace
}  // namespace knapweed::gateway
