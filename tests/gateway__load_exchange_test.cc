// Tests of the exchange of load between gateways, over a network within the
// process that fails as a test says.
#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "knapweed/gateway/gateway.h"
#include "knapweed/gateway/load_exchange.h"

namespace knapweed::gateway {
namespace {

constexpr char kHomeName[] = "upstream load";
constexpr char kUpstream[] = "i-1";
constexpr uint64_t kStartedAtMs = 1700000000000;

UpstreamEntry EntryOf(const std::string& id) {
  UpstreamEntry entry;
  entry.id = id;
  entry.started_at_ms = kStartedAtMs;
  entry.service = "svc";
  return entry;
}

// A gateway's part in the exchange, with the upstreams that it lists.
struct Node {
  Address address;
  UpstreamSet upstreams;
  Metrics metrics;
  std::unique_ptr<LoadExchange> exchange;

  Upstream& upstream() { return *upstreams.all().at(kUpstream); }
};

// Gateways on one loop, whose requests reach each other unless they are cut.
class Network {
 public:
  explicit Network(int count) {
    for (int i = 0; i < count; ++i) {
      auto node = std::make_unique<Node>();
      node->address = {"10.0.0." + std::to_string(i + 1), 80};
      node->upstreams.Put(EntryOf(kUpstream), 0);
      nodes_.push_back(std::move(node));
    }
    for (const auto& node : nodes_) {
      Node& self = *node;
      const auto send = [this, &self](const Address& peer,
                                      const HttpRequest& call, Ms timeout) {
        return Send(self, peer, call, timeout);
      };
      self.exchange = std::make_unique<LoadExchange>(
          loop, clock, self.upstreams, self.metrics, self.address, send);
      std::vector<Address> others;
      for (const auto& other : nodes_) {
        if (other != node) others.push_back(other->address);
      }
      self.exchange->SetOthers(others);
    }
  }

  void Start() {
    for (const auto& node : nodes_) Spawn(loop, node->exchange->Run());
  }

  Node& node(size_t i) { return *nodes_[i]; }

  // Index of the home while all gateways answer.
  size_t HomeIndex() {
    Peers peers(clock, nodes_[0]->address);
    std::vector<Address> others;
    for (size_t i = 1; i < nodes_.size(); ++i) {
      others.push_back(nodes_[i]->address);
    }
    peers.SetOthers(others);
    const Address home = peers.HomeOf(kHomeName).address;
    size_t i = 0;
    while (nodes_[i]->address != home) ++i;
    return i;
  }

  // Runs until `done` is true, at most `limit`; calls `check` all the while.
  bool RunUntil(
      const std::function<bool()>& done, Ms limit,
      const std::function<void()>& check = [] {}) {
    const Ms until = clock.Now() + limit;
    while (!done()) {
      if (clock.Now() >= until) return false;
      loop.run_one_for(std::chrono::milliseconds(10));
      check();
    }
    return true;
  }
  void RunFor(
      Ms span, const std::function<void()>& check = [] {}) {
    RunUntil([] { return false; }, span, check);
  }

  // Whether each gateway but those that are cut off knows the calls of all
  // others but those.
  bool AllKnow() {
    uint32_t total = 0;
    for (const auto& node : nodes_) {
      if (!cut_off.contains(node->address)) total += node->upstream().own.calls;
    }
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& node) {
      const Upstream& up = node->upstream();
      return cut_off.contains(node->address) ||
             up.others.calls == total - up.own.calls;
    });
  }

  asio::io_context loop;
  Clock clock = Clock::Steady();
  // Gateways whose requests get no answer and that give none.
  std::set<Address> cut_off;

 private:
  Task<HttpResponse> Send(Node& from, const Address& to,
                          const HttpRequest& call, Ms timeout) {
    co_await Sleep(loop, Ms{1});
    if (cut_off.contains(from.address) || cut_off.contains(to)) {
      co_await Sleep(loop, timeout);
      co_return HttpResponse{};
    }
    const auto it =
        std::find_if(nodes_.begin(), nodes_.end(),
                     [&](const auto& n) { return n->address == to; });
    co_return (*it)->exchange->AnswerPeer(call);
  }

  std::vector<std::unique_ptr<Node>> nodes_;
};

HttpRequest ReportCall(const LoadReport& report) {
  HttpRequest call;
  call.method = http::verb::post;
  call.target = std::string(kLoadPath);
  call.body = EncodeLoadReport(report);
  return call;
}

LoadReport ReportWith(uint64_t sequence, std::vector<LoadEntry> entries) {
  return {{"10.9.9.9", 80}, 1, sequence, Ms{250}, std::move(entries), {}};
}

uint64_t CountOf(Node& node, const std::string& name) {
  return node.metrics.GetCounter(name).Value();
}

uint64_t ReportsOf(Node& node, const std::string& outcome) {
  return CountOf(node, "load_reports_total{outcome=\"" + outcome + "\"}");
}

TEST_CASE("the answer to a report tells why it is not taken") {
  Network net(1);
  Node& node = net.node(0);
  const LoadKey key = LoadKeyOf(kUpstream, kStartedAtMs);
  const HttpRequest call = ReportCall(ReportWith(2, {{key, {1, 2, 3}}}));
  // It does not take part yet.
  CHECK(node.exchange->AnswerPeer(call).status == 503);
  net.Start();
  net.RunFor(Ms{300});
  const HttpResponse response = node.exchange->AnswerPeer(call);
  CHECK(response.status == 200);
  const auto answer = DecodeLoadAnswer(response.body, {});
  REQUIRE(answer.ok());
  const std::vector<LoadEntry> expected = {{key, {1, 2, 3}}};
  CHECK(answer->entries == expected);
  CHECK(node.exchange->AnswerPeer(call).status == 409);
  HttpRequest malformed = call;
  malformed.body = "{}";
  CHECK(node.exchange->AnswerPeer(malformed).status == 400);
  // An upstream that is not listed here, and the same under an older start.
  const LoadKey old_key = LoadKeyOf(kUpstream, kStartedAtMs - 1);
  const HttpResponse partial = node.exchange->AnswerPeer(ReportCall(
      ReportWith(3, {{key, {1, 2, 3}}, {old_key, {9, 9, 9}}, {5, {1, 1, 1}}})));
  REQUIRE(partial.status == 200);
  CHECK(DecodeLoadAnswer(partial.body, {})->entries == expected);
  CHECK(ReportsOf(node, "taken") == 2);
  CHECK(ReportsOf(node, "older") == 1);
  CHECK(ReportsOf(node, "malformed") == 1);
  CHECK(CountOf(node, "load_left_out_total{reason=\"unknown\"}") == 2);
  node.exchange->StopCollecting();
  CHECK(node.exchange->AnswerPeer(call).status == 503);
}

// Guards against a new upstream whose load the home leaves out for long.
TEST_CASE("the home looks for upstreams that it does not know yet") {
  Network net(1);
  Node& node = net.node(0);
  // So many gateways that its own next report, which looks for upstreams too,
  // is 10 s away. None of them answers.
  std::vector<Address> others(2000, Address{"10.1.1.1", 80});
  node.exchange->SetOthers(others);
  net.cut_off.insert(node.address);
  net.Start();
  net.RunFor(Ms{10});
  node.upstreams.Put(EntryOf("i-2"), 0);
  net.RunFor(Ms{110});
  const std::vector<LoadEntry> entries = {
      {LoadKeyOf("i-2", kStartedAtMs), {1, 2, 3}}};
  const HttpResponse response =
      node.exchange->AnswerPeer(ReportCall(ReportWith(1, entries)));
  REQUIRE(response.status == 200);
  const auto answer = DecodeLoadAnswer(response.body, {});
  REQUIRE(answer.ok());
  CHECK(std::find(answer->entries.begin(), answer->entries.end(), entries[0]) !=
        answer->entries.end());
}

TEST_CASE("each gateway knows the load and the starts of the others") {
  Network net(4);
  net.Start();
  for (size_t i = 0; i < 4; ++i) {
    const auto n = static_cast<uint32_t>(i + 1);
    net.node(i).upstream().own = {n, 10ull * n, 1000ull * n};
  }
  CHECK_FALSE(net.node(0).exchange->HasFreshView());
  CHECK(net.RunUntil([&] { return net.AllKnow(); }, Seconds(1)));
  CHECK(net.node(1).upstream().others == CallLoad{8, 80, 8000});
  CHECK(net.clock.Now() - net.node(1).upstream().others_at < Ms{600});
  for (size_t i = 0; i < 4; ++i) CHECK(net.node(i).exchange->HasFreshView());
  // 20 starts a second at each of two gateways, for 4 s.
  for (int n = 0; n < 80; ++n) {
    net.node(0).exchange->RecordStart("svc");
    net.node(1).exchange->RecordStart("svc");
    net.RunFor(Ms{50});
  }
  const LoadExchange::FleetStarts starts =
      net.node(0).exchange->StartsOf("svc");
  CHECK(starts.own_per_s == doctest::Approx(20).epsilon(0.15));
  CHECK(starts.fleet_per_s == doctest::Approx(40).epsilon(0.15));
  CHECK(net.node(2).exchange->StartsOf("svc").own_per_s == 0);
  CHECK(net.node(2).exchange->StartsOf("svc").fleet_per_s ==
        doctest::Approx(40).epsilon(0.15));
  CHECK(net.node(2).exchange->StartsOf("other").fleet_per_s == 0);
}

// Guards against other gateways that seem idle because a new home does not know
// all of them yet, and against views that stay old.
TEST_CASE("the load stays known while homes change") {
  struct Row {
    const char* what;
    bool is_planned;
  };
  for (const Row& row : {Row{"the home stops as planned", true},
                         Row{"the home is silent, later answers", false}}) {
    const std::string what = row.what;
    CAPTURE(what);
    Network net(5);
    net.Start();
    const size_t home = net.HomeIndex();
    for (size_t i = 0; i < 5; ++i) net.node(i).upstream().own = {10, 0, 0};
    REQUIRE(net.RunUntil([&] { return net.AllKnow(); }, Seconds(1)));
    uint32_t fewest = UINT32_MAX;
    bool always_fresh = true;
    const auto check = [&] {
      for (size_t i = 0; i < 5; ++i) {
        if (i == home) continue;
        fewest = std::min(fewest, net.node(i).upstream().others.calls);
        always_fresh = always_fresh && net.node(i).exchange->HasFreshView();
      }
    };
    if (row.is_planned) {
      net.node(home).exchange->StopCollecting();
    } else {
      net.cut_off.insert(net.node(home).address);
    }
    // News after the failure.
    net.node((home + 1) % 5).upstream().own = {12, 0, 0};
    CHECK(net.RunUntil([&] { return net.AllKnow(); }, Seconds(3), check));
    net.RunFor(Seconds(2), check);
    net.cut_off.clear();
    net.RunFor(Seconds(4), check);
    CHECK(net.AllKnow());
    // All others but the home that is silent.
    CHECK(fewest >= 30);
    CHECK(always_fresh);
  }
}

// Guards against a gateway that takes the others for idle because it can't
// reach them.
TEST_CASE("a gateway that is cut off knows that it does not know the load") {
  for (const int count : {3, 8}) {
    CAPTURE(count);
    Network net(count);
    net.Start();
    const size_t home = net.HomeIndex();
    const size_t cut = (home + 1) % static_cast<size_t>(count);
    for (size_t i = 0; i < static_cast<size_t>(count); ++i) {
      net.node(i).upstream().own = {10, 0, 0};
    }
    REQUIRE(net.RunUntil([&] { return net.AllKnow(); }, Seconds(1)));
    net.cut_off.insert(net.node(cut).address);
    CHECK(net.RunUntil([&] { return net.AllKnow(); }, Seconds(4)));
    CHECK(net.RunUntil([&] { return !net.node(cut).exchange->HasFreshView(); },
                       Seconds(3)));
    net.RunFor(Seconds(3));
    CHECK_FALSE(net.node(cut).exchange->HasFreshView());
    CHECK(net.node(cut).metrics.GetGauge("load_age_ms").Value() > 2000);
    net.cut_off.clear();
    CHECK(net.RunUntil(
        [&] { return net.AllKnow() && net.node(cut).exchange->HasFreshView(); },
        Seconds(4)));
  }
}

// Guards against a typing error that switches the exchange off silently.
TEST_CASE("the setting of the exchange is true or false") {
  struct Row {
    const char* lines;
    bool is_valid;
    bool is_on;
  };
  const Row rows[] = {
      {"", true, false},
      {"[load]\nexchange = true\n", true, true},
      {"[load]\nexchange = false\n", true, false},
      {"[load]\nexchange = yes\n", false, false},
      {"[load]\nexchanges = true\n", false, false},
  };
  const std::filesystem::path path =
      std::filesystem::temp_directory_path() /
      ("load_exchange_" + std::to_string(getpid()) + ".ini");
  for (const Row& row : rows) {
    const std::string lines = row.lines;
    CAPTURE(lines);
    std::ofstream(path) << "[gateway]\nname = g\nfailure_domain = a\n"
                           "callers = 127.0.0.1:1\nreadiness = 127.0.0.1:2\n"
                           "peers = 127.0.0.1:3\n[metrics]\n"
                           "listen = 127.0.0.1:4\n[store]\n"
                           "address = 127.0.0.1:5\n"
                        << lines;
    const auto config = ReadGatewayConfig(path.string());
    CHECK(config.ok() == row.is_valid);
    if (config.ok()) {
      CHECK(config->exchanges_load == row.is_on);
    } else {
      const std::string error(config.status().message());
      CHECK(error.find("load.exchange") != std::string::npos);
    }
  }
  std::filesystem::remove(path);
}

}  // namespace
}  // namespace knapweed::gateway
