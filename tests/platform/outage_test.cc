// The rates of workspaces while the store is away: gateways then ask each other
// directly.
#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include "tests/platform/world.h"

namespace knapweed::testing {
namespace {

constexpr Ms kWindow = Seconds(5);
constexpr double kRate = 20;
constexpr double kBurst = 10;

struct SentCall {
  Ms at;
  std::shared_ptr<CallerResponse> response;
};

/// Sends calls of one workspace to some gateways in turn.
class Sender {
 public:
  explicit Sender(TestCluster& cluster) : cluster_(cluster) {}

  /// Sends to the gateways from `first` on.
  void Send(Ms span, double per_s, int first = 0) {
    const Ms until = clock_.Now() + span;
    const Ms pause{static_cast<int64_t>(1000 / per_s)};
    while (clock_.Now() < until) {
      const int n = static_cast<int>(sent_.size());
      const int gateways = static_cast<int>(cluster_.gateways.size()) - first;
      const CallerRequest call = PlainCall("/safe/x", std::to_string(n));
      sent_.push_back(
          {clock_.Now(), cluster_.StartCall(call, first + n % gateways)});
      cluster_.RunFor(pause);
    }
  }

  int Served(Ms from, Ms to) const {
    return static_cast<int>(
        std::count_if(sent_.begin(), sent_.end(), [&](const SentCall& call) {
          return call.at >= from && call.at < to &&
                 call.response->status == 200;
        }));
  }
  int Sent(Ms from, Ms to) const {
    return static_cast<int>(std::count_if(
        sent_.begin(), sent_.end(),
        [&](const SentCall& call) { return call.at >= from && call.at < to; }));
  }
  int MostServedInWindow() const {
    int most = 0;
    for (const SentCall& call : sent_) {
      most = std::max(most, Served(call.at, call.at + kWindow));
    }
    return most;
  }
  Ms Now() const { return clock_.Now(); }

 private:
  TestCluster& cluster_;
  Clock clock_ = Clock::Steady();
  std::vector<SentCall> sent_;
};

void SetRate(TestCluster& cluster) {
  cluster.Configure([](nlohmann::json& config) {
    config["tenants"][0]["rate_per_s"] = kRate;
    config["tenants"][0]["burst"] = kBurst;
  });
  // Until all gateways have read of each other.
  cluster.RunFor(Ms{1500});
}

// Guards against gateways that each give themselves nearly the whole rate while
// the store is away, or when it is back and they have not announced themselves
// anew.
TEST_CASE("gateways hold a rate through an outage that outlasts their rows") {
  // Announcements count for 9 s.
  constexpr Ms kOutage = Seconds(11);
  TestCluster cluster(4);
  SetRate(cluster);
  Sender sender(cluster);
  sender.Send(Seconds(2), 8);
  cluster.store.faults.unavailable = true;
  const Ms began = sender.Now();
  sender.Send(kOutage, 60);
  cluster.store.faults.unavailable = false;
  sender.Send(Seconds(3), 60);
  cluster.RunFor(Ms{300});
  constexpr double kLimit = (kRate * kWindow.Seconds() + kBurst) * 1.1 + 20;
  CHECK(sender.MostServedInWindow() <= kLimit);
  // They also use most of the rate.
  const Ms later = began + Seconds(4);
  CHECK(sender.Served(later, later + kWindow) >=
        kRate * kWindow.Seconds() * 0.6);
}

// Guards against refusals below the rate, when callers come to other gateways
// than before the outage.
TEST_CASE("calls below their rate are served during an outage") {
  TestCluster cluster(4);
  SetRate(cluster);
  Sender sender(cluster);
  sender.Send(Seconds(2), 12);
  cluster.store.faults.unavailable = true;
  cluster.RunFor(Seconds(3));
  const Ms began = sender.Now();
  constexpr int kLastGateway = 3;
  sender.Send(Seconds(4), 12, kLastGateway);
  cluster.RunFor(Ms{300});
  const int sent = sender.Sent(began, sender.Now());
  const int served = sender.Served(began, sender.Now());
  CHECK(sent >= 30);
  CHECK(served == sent);
}

bool IsListed(TestCluster& cluster, const std::string& id) {
  const std::string state = cluster.Get(cluster.configs[0].metrics, "/state");
  return nlohmann::json::parse(state)["upstreams"].contains(id);
}

// Guards against requests to an upstream that left during or just after a cut
// of only this gateway, and against live upstreams dropped because the store
// was away.
TEST_CASE("a missing entry after an outage is judged by the other entries") {
  struct Row {
    const char* what;
    // The upstreams reach the store, which only the gateway does not.
    bool store_is_there;
    // It leaves 0.3 s after the gateway has the store back.
    bool leaves_later;
    // When its entry is back, after the gateway has the store back; zero for
    // never.
    Ms back_after;
    Ms checked_after;
    bool is_listed;
  };
  const Row rows[] = {
      {"left during a cut", true, false, Ms{0}, Ms{800}, false},
      {"left just after a cut", true, true, Ms{0}, Ms{500}, false},
      {"expired in an outage", false, false, Ms{0}, Ms{1500}, true},
      {"expired just after an outage", false, true, Ms{0}, Ms{500}, true},
      {"expired and back", false, false, Ms{1500}, Ms{3500}, true},
      {"left in an outage", false, false, Ms{0}, Ms{2600}, false},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    TestCluster cluster(1, 4);
    const std::string id = cluster.plain[3]->id();
    const auto write_entries = [&](size_t count) {
      for (size_t i = 0; i < cluster.plain.size(); ++i) {
        if (i < count) {
          cluster.store.Put("servers", cluster.plain[i]->id(),
                            cluster.plain[i]->Entry("plain"));
        }
        cluster.store.Put("servers", cluster.engines[i]->id(),
                          cluster.engines[i]->Entry("engines"));
      }
    };
    cluster.store.faults.unavailable = true;
    for (int i = 0; i < 4; ++i) {
      cluster.RunFor(Ms{400});
      if (row.store_is_there) write_entries(row.leaves_later ? 4 : 3);
    }
    if (!row.leaves_later) cluster.store.Remove("servers", id);
    cluster.store.faults.unavailable = false;
    REQUIRE(cluster.RunUntil([&] { return cluster.gateways[0]->IsReady(); }));
    if (row.leaves_later) {
      cluster.RunFor(Ms{300});
      cluster.store.Remove("servers", id);
    }
    if (row.back_after > Ms{0}) {
      cluster.RunFor(row.back_after);
      write_entries(4);
    }
    cluster.RunFor(row.checked_after - row.back_after);
    CHECK(IsListed(cluster, id) == row.is_listed);
  }
}

}  // namespace
}  // namespace knapweed::testing
