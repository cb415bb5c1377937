// Tests of the places that gateways record in the store, at which streams may
// begin.
#include <doctest/doctest.h>

#include <algorithm>

#include "tests/stream_fleet.h"

namespace knapweed::gateway {
namespace {

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
      CHECK((!resume.may_go_on || resume.origin.version == version));
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
    CHECK(named.origin.version == row.goes_on_at);
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
  CHECK(fleet.Resume(1, "s").origin.version == "v1");
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

}  // namespace
}  // namespace knapweed::gateway
