// Tests of the origins of streams that gateways tell each other and record in
// the store, in fleets of which a part or all have died.
#include <doctest/doctest.h>

#include <memory>
#include <random>

#include "knapweed/gateway/stream_versions.h"

namespace knapweed::gateway {
namespace {

constexpr char kService[] = "engines";
constexpr char kRoute[] = "host/resume/";
constexpr Ms kTimeout = Seconds(5);

RouteOrigin PlaceOf(const std::string& version,
                    const std::string& route = kRoute) {
  return {route, {kService, version}};
}

// Rows of the store, each written under the condition of its version.
class FakeRows {
 public:
  RecordStore Calls() {
    RecordStore calls;
    calls.read = [this](const RowRange&, std::vector<Row>* rows) {
      return Read(rows);
    };
    calls.write = [this](Commit commit) { return Write(std::move(commit)); };
    calls.reachable = [this] { return is_up; };
    calls.now = [this] { return now; };
    return calls;
  }

  bool is_up = true;
  Ms now = Seconds(5000);
  int writes = 0;
  std::map<std::string, Row> rows;

 private:
  Task<bool> Read(std::vector<Row>* out) {
    for (const auto& [key, row] : rows) out->push_back(row);
    co_return is_up;
  }
  Task<StoreAnswer> Write(Commit commit) {
    StoreAnswer answer;
    answer.outcome = StoreOutcome::kNotDone;
    if (!is_up) co_return answer;
    const RowWrite& write = commit.writes.front();
    Row& row = rows[write.key.key];
    answer.outcome = StoreOutcome::kConflict;
    if (row.version != commit.conditions.front().version) {
      answer.rows.push_back(row);
      co_return answer;
    }
    ++writes;
    row = {write.key, write.value, ++version_, false};
    answer.outcome = StoreOutcome::kDone;
    answer.version = row.version;
    co_return answer;
  }

  uint64_t version_ = 0;
};

// Gateways in one process whose messages arrive at once, or never at those that
// are down.
class Fleet {
 public:
  explicit Fleet(int count,
                 const std::vector<std::string>& listed = {"v1", "v2"})
      : is_up_(static_cast<size_t>(count), true) {
    for (const std::string& version : listed) List(version);
    for (int i = 0; i < count; ++i) {
      records_.push_back(nullptr);
      gateways_.push_back(nullptr);
      StartAgain(i);
    }
    for (int i = 0; i < count; ++i) IntroduceOthers(i, 0, count);
  }

  // Starts a gateway as a new process that knows nothing.
  void StartAgain(int i) {
    const auto n = static_cast<size_t>(i);
    // The old process's coroutines end with the loop.
    old_.push_back(std::move(records_[n]));
    records_[n] = std::make_unique<StreamRecords>(
        loop_, clock_, store_.Calls(), "gateway-" + std::to_string(i));
    gateways_[n] = std::make_unique<StreamVersions>(
        loop_, clock_, upstreams_, *records_[n], AddressOf(i),
        [this](const Address& peer, const HttpRequest& call, Ms) {
          return Deliver(peer, call);
        });
    RecordPlaces(i);
    Spawn(loop_, records_[n]->Run());
  }
  void List(const std::string& version) {
    UpstreamEntry entry;
    entry.id = version;
    entry.service = kService;
    entry.version = version;
    upstreams_.Put(entry, 0);
  }
  void Unlist(const std::string& version) { upstreams_.Remove(version); }
  // Tells gateway `i` of the route and the present list, as the tables would.
  void RecordPlaces(int i) {
    Route route;
    route.host = "host";
    route.prefix = "/resume/";
    route.streaming = true;
    route.resumable = true;
    route.timeout = kTimeout;
    route.services.push_back({kService, 1});
    At(i).RecordPlaces({&route, 1});
  }
  FakeRows& store() { return store_; }

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
    At(i).Record(id, PlaceOf(version));
    Run();
  }
  // Begins a stream as a call does: not before the place is recorded. Returns
  // false if it may not begin.
  bool Begin(int i, const std::string& id, const std::string& version) {
    bool may_begin = false;
    const auto begin = [&]() -> Task<void> {
      may_begin = co_await At(i).WillBegin(PlaceOf(version), kTimeout);
    };
    RunUntilDone(begin());
    if (may_begin) Record(i, id, version);
    return may_begin;
  }
  std::vector<std::string> VersionsToBegin(int i) {
    return At(i).VersionsToBegin(kRoute, kService);
  }
  StreamResume Resume(int i, const std::string& id,
                      const std::string& service = kService,
                      const std::string& route = kRoute) {
    StreamResume result;
    const auto resume = [&]() -> Task<void> {
      const StreamToResume stream{id, route, service, kTimeout};
      result = co_await At(i).Resume(stream);
    };
    RunUntilDone(resume());
    return result;
  }
  // Lets the gateways write what is due.
  void RunFor(Ms span) {
    constexpr Ms kStep{10};
    for (Ms passed; passed < span; passed += kStep) {
      clock_.Advance(kStep);
      loop_.restart();
      loop_.run_for(ToChrono(kStep));
    }
  }
  void RunUntilDone(Task<void> task) {
    bool done = false;
    const auto run = [&]() -> Task<void> {
      co_await std::move(task);
      done = true;
    };
    Spawn(loop_, run());
    while (!done) {
      loop_.restart();
      loop_.run_one();
    }
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
  FakeRows store_;
  std::vector<std::unique_ptr<StreamRecords>> records_;
  std::vector<std::unique_ptr<StreamRecords>> old_;
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
      CHECK(resume.version == row.goes_on_at);
    }
  }
}

// Guards against streams joined from two versions: one began at a version that
// no record named, since the store was away, and only gateways that died knew.
TEST_CASE("no stream begins where only its gateway would know") {
  struct Row {
    const char* what;
    // The store goes away before the new version can be recorded.
    bool at_once;
    // Where a stream can begin meanwhile.
    std::vector<std::string> begins_at;
  };
  const Row rows[] = {
      {"listed before the store goes away", false, {"v1", "v2"}},
      {"listed as the store goes away", true, {"v1"}},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    Fleet fleet(2, {"v1"});
    fleet.Begin(0, "a", "v1");
    fleet.Begin(1, "b", "v1");
    if (row.at_once) fleet.store().is_up = false;
    fleet.List("v2");
    for (int i = 0; i < 2; ++i) fleet.RecordPlaces(i);
    fleet.RunFor(Ms{300});
    fleet.store().is_up = false;
    for (const std::string version : {"v1", "v2"}) {
      const bool may_begin =
          std::count(row.begins_at.begin(), row.begins_at.end(), version) > 0;
      CHECK(fleet.Begin(0, "of-" + version, version) == may_begin);
    }
    CHECK(fleet.VersionsToBegin(0) ==
          (row.at_once ? row.begins_at : std::vector<std::string>()));
    for (int i = 0; i < 2; ++i) fleet.StartAgain(i);
    fleet.store().is_up = true;
    fleet.RunFor(Ms{50});
    for (const std::string& version : row.begins_at) {
      const StreamResume resume = fleet.Resume(1, "of-" + version);
      CHECK((!resume.may_go_on || resume.version == version));
    }
  }
}

// Guards against a gateway that decides by what it knew before it was cut off
// from the others or stood still, while another version joined.
TEST_CASE("a gateway out of step takes no stream to another version") {
  struct Row {
    const char* what;
    bool store_is_up;
    // Where the stream goes on; empty if it is refused.
    std::string goes_on_at;
  };
  const Row rows[] = {
      {"cut off from the others", true, "v2"},
      {"cut off from the others and the store", false, ""},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    Fleet fleet(3, {"v1"});
    fleet.Begin(2, "a", "v1");
    fleet.List("v2");
    // It has not read of the other version, and nobody can tell it.
    for (int i = 0; i < 2; ++i) fleet.RecordPlaces(i);
    fleet.IntroduceOthers(2, 0, 0);
    fleet.IntroduceOthers(0, 0, 2);
    fleet.Begin(0, "s", "v2");
    fleet.RunFor(Ms{300});
    fleet.store().is_up = row.store_is_up;
    const StreamResume named = fleet.Resume(2, "s");
    CHECK(named.may_go_on == !row.goes_on_at.empty());
    CHECK(named.version == row.goes_on_at);
    CHECK_FALSE(fleet.Resume(2, "").may_go_on);
  }
}

// Guards against a version that is withdrawn while streams may still have begun
// there by another gateway's permission or be resumed.
TEST_CASE("a version that has left stays recorded while streams may go on") {
  struct Row {
    const char* what;
    bool told_peer;
    Ms after;
    bool is_recorded;
  };
  const Ms span = kTimeout + Seconds(15);
  const Row rows[] = {
      {"just left", false, span - Seconds(1), true},
      {"long ago", false, span + Seconds(1), false},
      {"a peer was told", true, span + Seconds(50), true},
      {"a peer was told long ago", true, span + Seconds(61), false},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    Fleet fleet(1, {"v1", "v2"});
    fleet.RunFor(Ms{100});
    if (row.told_peer) CHECK(fleet.At(0).RowForPeer().has_value());
    fleet.Unlist("v1");
    fleet.RecordPlaces(0);
    fleet.clock().Advance(row.after);
    fleet.RunFor(Ms{600});
    const std::string& text = fleet.store().rows["gateway-0"].value;
    CHECK((text.find("v1") != std::string::npos) == row.is_recorded);
    CHECK(text.find("v2") != std::string::npos);
  }
}

TEST_CASE("a gateway that starts without the store relies on its peers' rows") {
  Fleet fleet(2, {"v1"});
  fleet.RunFor(Ms{100});
  const std::optional<Row> row = fleet.At(0).RowForPeer();
  REQUIRE(row.has_value());
  fleet.store().is_up = false;
  fleet.store().rows.clear();
  fleet.StartAgain(1);
  CHECK_FALSE(fleet.Begin(1, "s", "v1"));
  fleet.At(1).ApplyPeerRow(*row, fleet.clock().Now());
  CHECK(fleet.Begin(1, "s", "v1"));
  // A place that the peer could not record is not told.
  fleet.List("v2");
  fleet.RecordPlaces(0);
  const std::optional<Row> later = fleet.At(0).RowForPeer();
  REQUIRE(later.has_value());
  CHECK(later->value.find("v1") != std::string::npos);
  CHECK(later->value.find("v2") == std::string::npos);
  // The peer may withdraw it by then.
  fleet.clock().Advance(Seconds(50));
  CHECK_FALSE(fleet.Begin(1, "t", "v1"));
}

// Guards against a gateway that has been cut off for so long that the others
// ignore its row.
TEST_CASE("a row that no longer counts permits no stream") {
  Fleet fleet(1, {"v1"});
  fleet.RunFor(Ms{100});
  fleet.store().is_up = false;
  CHECK(fleet.Begin(0, "s", "v1"));
  fleet.clock().Advance(Seconds(400));
  CHECK_FALSE(fleet.Begin(0, "t", "v1"));
  fleet.store().is_up = true;
  CHECK(fleet.Begin(0, "u", "v1"));
}

TEST_CASE("a stream of unknown origin is refused while the store is away") {
  Fleet fleet(2, {"v1"});
  fleet.Begin(0, "s", "v1");
  CHECK(fleet.Resume(1, "").may_go_on);
  fleet.store().is_up = false;
  CHECK_FALSE(fleet.Resume(1, "").may_go_on);
  // Its gateway's peers know a named one without the store.
  CHECK(fleet.Resume(1, "s").may_go_on);
}

TEST_CASE("a stream of unknown origin is refused on a route it did not use") {
  Fleet fleet(2);
  fleet.Begin(0, "s", "v1");
  CHECK_FALSE(fleet.Resume(1, "", kService, "host/resume/new/").may_go_on);
  CHECK_FALSE(fleet.Resume(1, "", "another").may_go_on);
}

TEST_CASE("a gateway that starts again keeps what it recorded before") {
  Fleet fleet(2);
  fleet.Begin(0, "s", "v1");
  fleet.RunFor(Ms{300});
  fleet.StartAgain(0);
  // Writes its row anew.
  fleet.Begin(0, "t", "v2");
  CHECK_FALSE(fleet.Resume(1, "").may_go_on);
  fleet.StartAgain(1);
  CHECK(fleet.Resume(1, "s").version == "v1");
}

TEST_CASE("records are written when places change, not for each stream") {
  Fleet fleet(1, {"v1"});
  for (int i = 0; i < 50; ++i) fleet.Begin(0, "s" + std::to_string(i), "v1");
  fleet.RunFor(Ms{600});
  CHECK(fleet.store().writes == 1);
}

TEST_CASE("a record that can't be decoded does not pass for an empty one") {
  Fleet fleet(2, {"v1"});
  fleet.Begin(0, "s", "v1");
  const char* rows[] = {"", "[]", "{}", R"({"at_ms":1,"places":[1]})",
                        R"({"at_ms":1,"places":[["r","s","v"]]})"};
  for (const char* text : rows) {
    const std::string what = text;
    CAPTURE(what);
    fleet.store().rows["another"] = {
        {"streams", "r0", "another"}, text, 1, false};
    CHECK_FALSE(fleet.Resume(1, "").may_go_on);
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
