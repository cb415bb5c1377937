// Tests of which requests are found to crash upstreams.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "knapweed/gateway/crash_watch.h"

namespace knapweed::gateway {
namespace {

UpstreamPtr DeadUpstream(const std::string& id, uint64_t started_at_ms) {
  UpstreamEntry entry;
  entry.id = id;
  entry.started_at_ms = started_at_ms;
  // Nothing listens there.
  entry.address = {"127.0.0.1", 1};
  return std::make_shared<Upstream>(entry, 0);
}

// Guards against a request that is shut out at all gateways because one crash
// of one upstream broke off several copies of it.
TEST_CASE("one crash of one upstream counts once") {
  struct Broken {
    const char* upstream;
    uint64_t started_at_ms;
    const char* request;
  };
  struct Row {
    const char* what;
    std::vector<Broken> broken;
    bool is_quarantined;
  };
  const Row rows[] = {
      {"four requests at one",
       {{"a", 1, "1"}, {"a", 1, "2"}, {"a", 1, "3"}, {"a", 1, "4"}},
       false},
      {"two upstreams", {{"a", 1, "1"}, {"b", 1, "1"}, {"b", 1, "2"}}, false},
      {"three upstreams", {{"a", 1, "1"}, {"b", 1, "2"}, {"c", 1, "3"}}, true},
      {"three incarnations of one",
       {{"a", 1, "1"}, {"a", 2, "2"}, {"a", 3, "3"}},
       true},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    asio::io_context loop;
    CrashWatch here(loop);
    CrashWatch there(loop);
    constexpr uint64_t kDigest = 7;
    int turn = 0;
    for (const Broken& it : row.broken) {
      CrashWatch& watch = turn++ % 2 == 0 ? here : there;
      watch.OnBroken(kDigest, DeadUpstream(it.upstream, it.started_at_ms),
                     it.request);
    }
    loop.run();
    here.MergeRecords(there.RecordsToPublish());
    there.MergeRecords(here.RecordsToPublish());
    CHECK(here.IsQuarantined(kDigest) == row.is_quarantined);
    CHECK(there.IsQuarantined(kDigest) == row.is_quarantined);
  }
}

// Guards against a request that crashes the same upstream again and again: it
// starts again under its id before its row states another start.
TEST_CASE("an upstream that crashes again later counts again") {
  asio::io_context loop;
  CrashWatch watch(loop);
  constexpr uint64_t kDigest = 7;
  for (int crash = 0; crash < 3; ++crash) {
    CHECK_FALSE(watch.IsQuarantined(kDigest));
    watch.OnBroken(kDigest, DeadUpstream("a", 1), std::to_string(crash));
    Spawn(loop, Sleep(loop, Ms{1200}));
    loop.run();
    loop.restart();
  }
  CHECK(watch.IsQuarantined(kDigest));
}

TEST_CASE("requests with another caller, place, history or body differ") {
  const DigestedRequest request{"ws", "/turn/x", "t1", "yes"};
  const DigestedRequest others[] = {
      {"other", "/turn/x", "t1", "yes"}, {"ws", "/turn/y", "t1", "yes"},
      {"ws", "/turn/x", "t2", "yes"},    {"ws", "/turn/x", "", "yes"},
      {"ws", "/turn/x", "t1", "no"},
  };
  CHECK(RequestDigest(request) == RequestDigest(request));
  for (const DigestedRequest& other : others) {
    CHECK(RequestDigest(request) != RequestDigest(other));
  }
}

}  // namespace
}  // namespace knapweed::gateway
