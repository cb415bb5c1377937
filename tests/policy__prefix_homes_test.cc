// Tests of the engines that keep a shared prompt part: rules as tables, and a
// memory that binds, played in a model of prefix caches.
#include <doctest/doctest.h>

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iterator>
#include <random>
#include <string>

#include "knapweed/policy/prefix_homes.h"

namespace knapweed {
namespace {

constexpr uint32_t kSharedTokens = 2560;
constexpr double kLeastShare = 0.2;

TEST_CASE("the share of homes is 1 unless the memory binds") {
  struct Row {
    const char* what;
    EngineMemory memory;
    bool binds;
    double share;
  };
  const Row rows[] = {
      {"many slots", {139891, 32, 2500, 16 * 2560}, true, 0.2},
      {"few slots", {154238, 12, 2500, 16 * 2560}, false, 1},
      {"just below the bound", {100000, 10, 2499, 40000}, false, 1},
      {"at the bound", {100000, 10, 2500, 40000}, true, 0.234375},
      {"half of the room", {100000, 10, 6000, 10000}, true, 0.5},
      {"room for nearly all parts", {100000, 10, 6000, 6660}, true, 1},
      {"room for three quarters", {100000, 10, 6000, 6700}, true, 5000 / 6700.},
      {"room for all parts", {100000, 10, 6000, 2560}, true, 1},
      {"calls take all", {100000, 10, 10000, 40000}, true, 0.2},
      {"calls take more than all", {100000, 10, 50000, 40000}, true, 0.2},
      {"absurd number of parts", {100000, 10, 6000, 1e15}, true, 0.2},
      {"nothing shared", {100000, 10, 6000, 0}, true, 1},
      {"negative", {100000, 10, 6000, -5}, true, 1},
      {"memory not known", {0, 10, 6000, 40000}, false, 1},
      {"calls not known", {100000, 10, 0, 40000}, false, 1},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    CHECK(MemoryBinds(row.memory) == row.binds);
    CHECK(HomeShare(row.memory) == doctest::Approx(row.share));
  }
}

// Guards against a popular part whose few homes are overloaded.
TEST_CASE("the share of homes is never below the least") {
  std::mt19937_64 random(3);
  std::uniform_real_distribution<double> unit(0, 1);
  for (int i = 0; i < 10000; ++i) {
    EngineMemory memory;
    memory.total_tokens = random() % 400000;
    memory.slots = 1 + static_cast<uint32_t>(random() % 64);
    memory.call_tokens = 20000 * unit(random);
    memory.shared_tokens = 400000 * unit(random);
    const double share = HomeShare(memory);
    REQUIRE(share >= kLeastShare);
    REQUIRE(share <= 1);
    if (!MemoryBinds(memory)) REQUIRE(share == 1);
  }
}

// Guards against homes that all change when the share changes a little, which
// would have every part prefilled again.
TEST_CASE("homes are nested and as many as the share") {
  constexpr int kHashes = 20000;
  const double shares[] = {0, 0.2, 0.25, 0.5, 0.74, 1};
  std::mt19937_64 random(4);
  int homes[6] = {};
  for (int i = 0; i < kHashes; ++i) {
    const uint64_t hash = random();
    bool was_home = false;
    for (size_t j = 0; j < std::size(shares); ++j) {
      const bool is_home = IsHome(hash, shares[j]);
      if (was_home) REQUIRE(is_home);
      if (is_home) ++homes[j];
      was_home = is_home;
    }
  }
  for (size_t j = 0; j < std::size(shares); ++j) {
    CAPTURE(shares[j]);
    // Four standard deviations of a share of 0.5 are 0.014.
    CHECK(std::abs(static_cast<double>(homes[j]) / kHashes - shares[j]) <
          0.015);
  }
  CHECK(IsHome(0, kLeastShare));
  CHECK_FALSE(IsHome(UINT64_MAX, kLeastShare));
}

TEST_CASE("the mix counts each part in use once, by its latest size") {
  PromptMix mix;
  for (int i = 0; i < 10; ++i) {
    mix.Record(1, kSharedTokens, 1000, Ms{1000 + i});
    mix.Record(2, 100, 1000, Ms{1000 + i});
    mix.Record(0, 700, 1000, Ms{1000 + i});
  }
  EngineMemory memory = mix.MemoryOf(139891, 32);
  CHECK(memory.total_tokens == 139891);
  CHECK(memory.slots == 32);
  CHECK(memory.call_tokens == doctest::Approx(1000));
  CHECK(memory.shared_tokens == kSharedTokens + 100);
  mix.Record(2, 300, 1000, Ms{1020});
  memory = mix.MemoryOf(139891, 32);
  CHECK(memory.shared_tokens == kSharedTokens + 300);
}

// Guards against parts of programs that ran long ago, which would make the
// memory seem short.
TEST_CASE("a part that was not used for a while is left out") {
  PromptMix mix;
  mix.Record(1, kSharedTokens, 1000, Ms{1000});
  mix.Record(2, kSharedTokens, 1000, Ms{1000});
  for (Ms now{2000}; now < Ms{20000}; now += Ms{1000}) {
    mix.Record(2, kSharedTokens, 1000, now);
    CHECK(mix.MemoryOf(1, 1).shared_tokens == 2 * kSharedTokens);
  }
  mix.Record(2, kSharedTokens, 1000, Ms{22000});
  CHECK(mix.MemoryOf(1, 1).shared_tokens == kSharedTokens);
  mix.Record(0, 0, 1000, Ms{60000});
  CHECK(mix.MemoryOf(1, 1).shared_tokens == 0);
  CHECK(HomeShare(mix.MemoryOf(2000, 1)) == 1);
}

TEST_CASE("the mean size of calls follows a change and ignores no size") {
  PromptMix mix;
  mix.Record(0, 0, 0, Ms{1000});
  CHECK(mix.MemoryOf(1, 1).call_tokens == 0);
  mix.Record(0, 0, 4000, Ms{1000});
  mix.Record(0, 0, -1, Ms{1000});
  CHECK(mix.MemoryOf(1, 1).call_tokens == 4000);
  for (int i = 0; i < 400; ++i) mix.Record(0, 0, 1000, Ms{1000 + i});
  CHECK(mix.MemoryOf(1, 1).call_tokens == doctest::Approx(1000).epsilon(0.01));
}

}  // namespace
}  // namespace knapweed
