// Tests of the origins of streams that gateways tell each other, in fleets of
// which a part or all have died.
#include <doctest/doctest.h>

#include <random>

#include "tests/stream_fleet.h"

namespace knapweed::gateway {
namespace {

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
        CHECK(resume.origin.version == version);
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
  // The row is written again, without it.
  fleet.Record(0, "later", "v1");
  fleet.RunFor(Ms{300});
  CHECK_FALSE(fleet.Resume(1, "s").may_go_on);
}

// The reported fault: all gateways die when the upstreams of one version have
// just left, and the list holds the other one.
TEST_CASE("after the death of all gateways no stream changes its version") {
  struct Row {
    const char* what;
    std::vector<std::string> listed;
    // Versions at which streams began before, one after the other.
    std::vector<std::string> begun;
    // The caller names the request that began the stream.
    bool names_beginning;
    // The version that leaves while all gateways are down.
    std::string leaves;
    // Where a stream that began at the first version goes on; empty if it is
    // refused.
    std::string goes_on_at;
  };
  const std::vector<std::string> one = {"v1"};
  const std::vector<std::string> both = {"v1", "v2"};
  const Row rows[] = {
      {"one version", one, {"v1"}, true, "", "v1"},
      {"one version, not named", one, {"v1"}, false, "", "v1"},
      {"one version used of two", both, {"v1"}, true, "v2", "v1"},
      // A stream may have begun at the other one, for all that the store knows.
      {"one version used of two, not named", both, {"v1"}, false, "v2", ""},
      {"its version has left, not named", both, both, false, "v1", ""},
      {"its version has left", both, both, true, "v1", "v1"},
      {"two versions, not named", both, both, false, "", ""},
      {"two versions", both, both, true, "", "v1"},
      {"only its version is listed, not named", both, both, false, "v2", ""},
      {"no stream has begun", both, {}, false, "v2", ""},
  };
  constexpr int kGateways = 3;
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    Fleet fleet(kGateways, row.listed);
    for (size_t n = 0; n < row.begun.size(); ++n) {
      fleet.Begin(static_cast<int>(n), "s" + std::to_string(n), row.begun[n]);
    }
    fleet.RunFor(Ms{300});
    if (!row.leaves.empty()) fleet.Unlist(row.leaves);
    for (int i = 0; i < kGateways; ++i) fleet.StartAgain(i);
    fleet.RunFor(Ms{50});
    for (int i = 0; i < kGateways; ++i) {
      const StreamResume resume =
          fleet.Resume(i, row.names_beginning ? "s0" : "");
      CHECK(resume.may_go_on == !row.goes_on_at.empty());
      CHECK(resume.origin.version == row.goes_on_at);
    }
  }
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
