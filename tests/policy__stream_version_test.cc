// Tests of the decision whether a resumed stream may go on, and at which
// software version.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "knapweed/policy/stream_version.h"

namespace knapweed {
namespace {

TEST_CASE("a resumed stream goes on only where it began") {
  constexpr Ms kNow = Seconds(1000);
  constexpr Ms kSpan = Seconds(20);
  constexpr Ms kLongAgo = kNow - Seconds(60);
  constexpr Ms kLately = kNow - Seconds(3);
  constexpr bool kKnowsAll = true;
  struct Row {
    const char* what;
    // Empty if nobody knows.
    std::string begun_service;
    std::string begun_version;
    bool knows_all;
    std::vector<PossibleOrigin> possible;
    // Empty if it may not go on.
    std::string version;
    // The services that the route leads to.
    std::vector<std::string_view> services = {"engines"};
    std::string service = "engines";
  };
  const PossibleOrigin v1{"engines", "v1", kLately};
  const PossibleOrigin v2{"engines", "v2", kNow};
  const PossibleOrigin v0_long_ago{"engines", "v0", kLongAgo};
  const PossibleOrigin other_service{"others", "v1", kLately};
  const Row rows[] = {
      {"known", "engines", "v1", kKnowsAll, {v1, v2}, "v1"},
      {"known, store out of reach", "engines", "v2", false, {}, "v2"},
      {"known, the route leads elsewhere now",
       "others",
       "v1",
       kKnowsAll,
       {v1},
       ""},
      // The route's weights do not matter.
      {"known, one of two services",
       "engines",
       "v1",
       kKnowsAll,
       {v1, other_service},
       "v1",
       {"others", "engines"}},
      {"known, the other of two services",
       "others",
       "v1",
       false,
       {},
       "v1",
       {"engines", "others"},
       "others"},
      {"known, the route leads nowhere",
       "engines",
       "v1",
       kKnowsAll,
       {v1},
       "",
       {}},
      {"unknown, one place of two services",
       "",
       "",
       kKnowsAll,
       {other_service},
       "v1",
       {"engines", "others"},
       "others"},
      {"unknown, at two services of the route",
       "",
       "",
       kKnowsAll,
       {v1, other_service},
       "",
       {"engines", "others"}},
      {"unknown, one place", "", "", kKnowsAll, {v1}, "v1"},
      {"unknown, the same place of two gateways",
       "",
       "",
       kKnowsAll,
       {v1, {"engines", "v1", kNow}},
       "v1"},
      {"unknown, two versions", "", "", kKnowsAll, {v1, v2}, ""},
      {"unknown, another version long ago",
       "",
       "",
       kKnowsAll,
       {v0_long_ago, v1},
       "v1"},
      {"unknown, only long ago", "", "", kKnowsAll, {v0_long_ago}, ""},
      // The reported fault: the list holds one version, the stream began at
      // another one, whose upstreams have just left.
      {"unknown, records not read", "", "", false, {v2}, ""},
      {"unknown, at another service", "", "", kKnowsAll, {other_service}, ""},
      {"unknown, at two services", "", "", kKnowsAll, {v1, other_service}, ""},
      {"unknown, no stream has begun", "", "", kKnowsAll, {}, ""},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    ResumedStream stream;
    if (!row.begun_service.empty()) {
      stream.begun = PossibleOrigin{row.begun_service, row.begun_version, kNow};
    }
    stream.possible = row.possible;
    stream.knows_all = row.knows_all;
    stream.services = row.services;
    stream.longest_span = kSpan;
    stream.now = kNow;
    const ResumeDecision decision = DecideResume(stream);
    CHECK(decision.may_go_on == !row.version.empty());
    CHECK(decision.version == row.version);
    CHECK(decision.service == (row.version.empty() ? "" : row.service));
  }
}

}  // namespace
}  // namespace knapweed
