// Tests of the decision whether a resumed stream may go on, and at which
// software version.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "knapweed/policy/stream_version.h"

namespace knapweed {
namespace {

TEST_CASE("a resumed stream goes on only at the version that began it") {
  constexpr Ms kNow = Seconds(1000);
  constexpr Ms kLongAgo = kNow - Seconds(60);
  constexpr Ms kLately = kNow - Seconds(3);
  struct Row {
    const char* what;
    std::optional<std::string_view> begun_version;
    bool names_beginning;
    std::vector<SeenVersion> versions;
    Ms followed_since;
    // Empty if it may not go on.
    std::string version;
  };
  const SeenVersion v1{"v1", kNow};
  const SeenVersion v2{"v2", kNow};
  const SeenVersion left_lately{"v0", kLately};
  const SeenVersion left_long_ago{"v0", kLongAgo};
  const Row rows[] = {
      {"known", "v1", true, {v1, v2}, kLongAgo, "v1"},
      {"known, its version has left", "v0", true, {v1}, kLongAgo, "v0"},
      {"known by a gateway that has just started",
       "v2",
       true,
       {v1, v2},
       kNow,
       "v2"},
      {"unknown, two versions", {}, true, {v1, v2}, kLongAgo, ""},
      {"unknown, one version", {}, true, {v1}, kLongAgo, "v1"},
      {"unknown, another has left lately",
       {},
       true,
       {left_lately, v1},
       kLongAgo,
       ""},
      {"unknown, another left long ago",
       {},
       true,
       {left_long_ago, v1},
       kLongAgo,
       "v1"},
      {"unknown, gateway has just started", {}, true, {v1}, kLately, ""},
      {"beginning not named, one version", {}, false, {v1}, kLately, "v1"},
      {"beginning not named, two versions", {}, false, {v1, v2}, kLongAgo, ""},
      {"no upstream", {}, false, {}, kLongAgo, ""},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    ResumedStream stream;
    stream.begun_version = row.begun_version;
    stream.names_beginning = row.names_beginning;
    stream.versions = row.versions;
    stream.followed_since = row.followed_since;
    stream.now = kNow;
    const ResumeDecision decision = DecideResume(stream);
    CHECK(decision.may_go_on == !row.version.empty());
    CHECK(decision.version == row.version);
  }
}

}  // namespace
}  // namespace knapweed
