// Tests of the origins of streams that gateways tell each other, in fleets of
// which a part is gone.
#include <doctest/doctest.h>

#include <memory>
#include <random>

#include "knapweed/gateway/stream_versions.h"

namespace knapweed::gateway {
namespace {

constexpr char kService[] = "engines";

// Gateways in one process whose messages arrive at once, or never at those that
// are down.
class Fleet {
 public:
  explicit Fleet(int count) : is_up_(static_cast<size_t>(count), true) {
    for (const char* version : {"v1", "v2"}) {
      UpstreamEntry entry;
      entry.id = version;
      entry.service = kService;
      entry.version = version;
      upstreams_.Put(entry, 0);
    }
    for (int i = 0; i < count; ++i) {
      gateways_.push_back(std::make_unique<StreamVersions>(
          loop_, clock_, upstreams_, AddressOf(i),
          [this](const Address& peer, const HttpRequest& call, Ms) {
            return Deliver(peer, call);
          }));
    }
    for (int i = 0; i < count; ++i) IntroduceOthers(i, 0, count);
  }

  // Tells gateway `i` of those from `first` on, before `end`.
  void IntroduceOthers(int i, int first, int end) {
    std::vector<Address> others;
    for (int j = first; j < end; ++j) {
      if (j != i) others.push_back(AddressOf(j));
    }
    At(i).SetOthers(others);
  }
  StreamVersions& At(int i) { return *gateways_[static_cast<size_t>(i)]; }
  void Kill(int i) { is_up_[static_cast<size_t>(i)] = false; }
  bool IsUp(int i) const { return is_up_[static_cast<size_t>(i)]; }
  Clock& clock() { return clock_; }

  void Record(int i, const std::string& id, const std::string& version) {
    At(i).Record(id, {kService, version});
    Run();
  }
  StreamResume Resume(int i, const std::string& id,
                      const std::string& service = kService) {
    StreamResume result;
    bool done = false;
    const auto resume = [&]() -> Task<void> {
      result = co_await At(i).Resume(id, service);
      done = true;
    };
    Spawn(loop_, resume());
    while (!done) {
      loop_.restart();
      loop_.run_one();
    }
    return result;
  }

 private:
  static Address AddressOf(int i) {
    return {"10.0.0.1", static_cast<uint16_t>(1000 + i)};
  }
  Task<HttpResponse> Deliver(Address peer, HttpRequest call) {
    const int i = peer.port - 1000;
    if (!IsUp(i)) co_return HttpResponse{};
    co_return At(i).AnswerPeer(call);
  }
  void Run() {
    loop_.restart();
    loop_.poll();
  }

  asio::io_context loop_;
  Clock clock_ = Clock::Manual(Seconds(1000));
  UpstreamSet upstreams_;
  std::vector<std::unique_ptr<StreamVersions>> gateways_;
  std::vector<bool> is_up_;
};

TEST_CASE("streams go on at their version while gateways die") {
  struct Row {
    const char* what;
    int gateways;
    // Gateways that die besides the one that began the stream.
    double dead_share;
    // Least fraction of the streams that go on: half, unless all is well.
    double least;
  };
  const Row rows[] = {
      {"two gateways", 2, 0, 1},
      {"seven", 7, 0, 1},
      {"seven, one more dead", 7, 0.15, 0.9},
      {"seven, half dead", 7, 0.5, 0.5},
      {"84, a tenth dead", 84, 0.1, 0.9},
      {"84, most dead", 84, 0.55, 0.5},
      {"380, most dead", 380, 0.55, 0.5},
  };
  std::mt19937_64 random(11);
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    constexpr int kStreams = 200;
    int went_on = 0;
    for (int n = 0; n < kStreams / 20; ++n) {
      Fleet fleet(row.gateways);
      const std::string version = n % 2 == 0 ? "v1" : "v2";
      const std::string id = std::to_string(n) + "-";
      for (int i = 0; i < 20; ++i) {
        fleet.Record(0, id + std::to_string(i), version);
      }
      fleet.Kill(0);
      const auto dead = static_cast<int>(row.dead_share * row.gateways);
      for (int i = 0; i < dead;) {
        const auto victim =
            1 + static_cast<int>(random() %
                                 static_cast<uint64_t>(row.gateways - 1));
        if (!fleet.IsUp(victim)) continue;
        fleet.Kill(victim);
        ++i;
      }
      int asked = 1;
      while (!fleet.IsUp(asked)) ++asked;
      for (int i = 0; i < 20; ++i) {
        const StreamResume resume = fleet.Resume(asked, id + std::to_string(i));
        if (!resume.may_go_on) continue;
        ++went_on;
        CHECK(resume.version == version);
      }
    }
    CHECK(went_on >= row.least * kStreams);
  }
}

TEST_CASE("gateways that know of different others find the origin") {
  // The one that is asked knows two that the first one did not know.
  Fleet fleet(12);
  fleet.IntroduceOthers(0, 0, 10);
  int found = 0;
  for (int i = 0; i < 100; ++i) {
    const std::string id = "s" + std::to_string(i);
    fleet.Record(0, id, "v2");
    if (fleet.Resume(5, id).may_go_on) ++found;
  }
  CHECK(found >= 95);
}

TEST_CASE("an origin is forgotten, and does not fit another service") {
  Fleet fleet(3);
  fleet.Record(0, "s", "v1");
  CHECK(fleet.Resume(1, "s").may_go_on);
  CHECK_FALSE(fleet.Resume(1, "s", "another").may_go_on);
  fleet.clock().Advance(Seconds(40));
  for (int i = 0; i < 3; ++i) fleet.At(i).Update();
  CHECK_FALSE(fleet.Resume(1, "s").may_go_on);
}

TEST_CASE("malformed messages about streams are rejected") {
  Fleet fleet(2);
  const char* rows[] = {"",
                        "[]",
                        "{}",
                        R"({"request":1})",
                        R"({"request":"r"})",
                        R"({"request":"r","service":"s","version":2})"};
  for (const char* text : rows) {
    const std::string what = text;
    CAPTURE(what);
    const HttpRequest report{http::verb::post, std::string(kStreamBegunPath),
                             text};
    CHECK(fleet.At(0).AnswerPeer(report).status == 400);
    const HttpRequest request{http::verb::post, std::string(kStreamOriginPath),
                              text};
    CHECK(fleet.At(0).AnswerPeer(request).status != 200);
  }
}

}  // namespace
}  // namespace knapweed::gateway
