// Tests of how often quarantined requests run as a probe, over all gateways.
#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "knapweed/gateway/crash_probes.h"

namespace knapweed::gateway {
namespace {

/// The rows of probes, written under the condition that they don't exist.
struct ProbeRows {
  bool is_reachable = true;
  /// Share of the commits that are applied but whose answer is lost.
  double lost = 0;
  std::mt19937_64 random{1};
  std::map<std::string, std::string> rows;

  Task<StoreAnswer> Write(Commit commit) {
    StoreAnswer answer;
    const RowWrite& write = commit.writes.front();
    const auto [it, is_new] = rows.try_emplace(write.key.key, write.value);
    if (!is_new) {
      answer.outcome = StoreOutcome::kConflict;
      answer.rows.push_back({write.key, it->second, 1, false});
      co_return answer;
    }
    const bool is_lost =
        std::uniform_real_distribution<double>(0, 1)(random) < lost;
    answer.outcome = is_lost ? StoreOutcome::kUnknown : StoreOutcome::kDone;
    co_return answer;
  }
};

ProbeStore StoreOf(ProbeRows& rows, const Clock& clock) {
  return {[&rows](Commit commit) { return rows.Write(std::move(commit)); },
          [&rows] { return rows.is_reachable; },
          [&clock] { return clock.Now(); }};
}

// Guards against a request that crashes upstreams and reaches more of them than
// the platform allows, because each gateway probes on its own, and against an
// innocent one that gets no probe.
TEST_CASE("all gateways together claim few probes") {
  struct Row {
    const char* what;
    size_t gateways;
    bool is_reachable;
    double lost;
    size_t min_claims;
    size_t max_claims;
  };
  const Row rows[] = {
      {"one gateway", 1, true, 0, kMaxProbes, kMaxProbes},
      {"many gateways", 84, true, 0, kMaxProbes, kMaxProbes},
      {"lost answers", 84, true, 0.5, 0, kMaxProbes},
      {"no store", 84, false, 0, 0, 0},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    Clock clock = Clock::Manual(Seconds(1000));
    asio::io_context loop;
    ProbeRows store;
    store.is_reachable = row.is_reachable;
    store.lost = row.lost;
    std::deque<CrashProbes> gateways;
    for (size_t i = 0; i < row.gateways; ++i) {
      gateways.emplace_back(clock, StoreOf(store, clock));
    }
    const Ms crashed_at = clock.Now();
    std::vector<Ms> claims;
    const auto claim = [&](CrashProbes& gateway) -> Task<void> {
      const bool claimed = co_await gateway.Claim(7);
      if (claimed) claims.push_back(clock.Now() - crashed_at);
    };
    // For as long as a quarantine lasts, every gateway gets the request each
    // second.
    for (int second = 0; second < 600; ++second) {
      for (CrashProbes& gateway : gateways) {
        const bool is_due = gateway.IsDue(7, clock.Now() - crashed_at);
        if (is_due) Spawn(loop, claim(gateway));
      }
      loop.run();
      loop.restart();
      clock.Advance(Seconds(1));
    }
    CHECK(claims.size() >= row.min_claims);
    CHECK(claims.size() <= row.max_claims);
    for (size_t i = 0; i < claims.size(); ++i) {
      const Ms earliest =
          kFirstProbeAfter + kProbeInterval * static_cast<int64_t>(i);
      CHECK(claims[i] >= earliest);
      if (row.lost == 0) CHECK(claims[i] <= earliest + Seconds(2));
    }
  }
}

TEST_CASE("probes of one request leave those of others") {
  Clock clock = Clock::Manual(Seconds(1000));
  asio::io_context loop;
  ProbeRows store;
  CrashProbes probes(clock, StoreOf(store, clock));
  int claims = 0;
  const auto claim = [&](uint64_t digest) -> Task<void> {
    const bool claimed = co_await probes.Claim(digest);
    if (claimed) ++claims;
  };
  for (uint64_t digest = 1; digest <= 5000; ++digest) {
    CHECK(probes.IsDue(digest, kFirstProbeAfter));
    Spawn(loop, claim(digest));
  }
  loop.run();
  CHECK(claims == 5000);
  CHECK_FALSE(probes.IsDue(5000, kFirstProbeAfter));
}

}  // namespace
}  // namespace knapweed::gateway
