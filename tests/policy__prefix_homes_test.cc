// Tests of the engines that keep a shared prompt part: rules as tables, and a
// memory that binds, played in a model of prefix caches.
#include <doctest/doctest.h>

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <iterator>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "knapweed/policy/placement.h"
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

/// Prompt parts in an engine's memory; those that were not used for longest are
/// evicted.
class PrefixCache {
 public:
  explicit PrefixCache(uint64_t tokens) : capacity_(tokens) {}

  uint64_t TokensOf(uint64_t id) const {
    const auto it = parts_.find(id);
    return it == parts_.end() ? 0 : it->second.tokens;
  }

  void Use(uint64_t id, uint64_t tokens) {
    Part& part = parts_[id];
    used_ += tokens - part.tokens;
    part = {tokens, ++uses_};
    MakeRoom();
  }

  /// A call starts with the part `id`, if it is there, and has `tokens`, which
  /// can't be evicted while it runs.
  void Start(uint64_t id, uint64_t tokens) {
    used_ += tokens - TokensOf(id);
    parts_.erase(id);
    MakeRoom();
  }

  /// Its tokens are kept as the part `id`.
  void End(uint64_t id, uint64_t tokens) {
    used_ -= tokens;
    Use(id, tokens);
  }

 private:
  struct Part {
    uint64_t tokens = 0;
    uint64_t used_at = 0;
  };

  void MakeRoom() {
    while (used_ > capacity_ && !parts_.empty()) Evict();
  }

  void Evict() {
    const auto oldest = std::min_element(
        parts_.begin(), parts_.end(), [](const auto& a, const auto& b) {
          return a.second.used_at < b.second.used_at;
        });
    used_ -= oldest->second.tokens;
    parts_.erase(oldest);
  }

  uint64_t capacity_;
  uint64_t used_ = 0;
  uint64_t uses_ = 0;
  std::map<uint64_t, Part> parts_;
};

/// Engines with little memory, and programs that begin with one of 16 shared
/// parts and pause between their turns.
struct BoundMemory {
  size_t engines = 20;
  uint64_t memory_tokens = 139891;
  uint32_t slots = 32;
  uint64_t shared_parts = 16;
  int turns = 9;
  uint64_t turn_tokens = 554;
  /// Programs that run at the same time for each engine.
  size_t programs = 40;
  double call_ms = 300;
  double mean_pause_ms = 300;
  double span_ms = 20000;
};

/// Counts the tokens that engines prefill. A program stays where its history
/// is, and `PlaceCall` chooses otherwise.
class MemoryPlayer {
 public:
  MemoryPlayer(const BoundMemory& spec, uint64_t seed, bool with_homes)
      : spec_(spec), with_homes_(with_homes), random_(seed) {
    const double mean_history =
        static_cast<double>(spec.turn_tokens) * spec.turns / 2.0;
    call_tokens_ = mean_history + static_cast<double>(spec.turn_tokens);
    caches_.resize(spec.engines, PrefixCache(spec.memory_tokens));
    running_.resize(spec.engines);
    for (size_t i = 0; i < spec.engines; ++i)
      engine_hashes_.push_back(random_());
    for (size_t i = 0; i < spec.engines * spec.programs; ++i) {
      events_.emplace(Pause(), programs_.size());
      programs_.push_back(NewProgram());
    }
  }

  /// Returns the tokens of histories and shared parts that a mean call
  /// prefills.
  double Play() {
    while (events_.top().first < spec_.span_ms) {
      const auto [at_ms, number] = events_.top();
      events_.pop();
      Program& program = programs_[number];
      if (program.runs) {
        End(number, at_ms);
      } else {
        Begin(number, at_ms);
      }
    }
    return static_cast<double>(again_) / static_cast<double>(calls_);
  }

  double share() const { return share_; }

 private:
  using Event = std::pair<double, size_t>;
  struct Program {
    uint64_t id = 0;
    uint64_t part = 0;
    int turn = 0;
    size_t engine = 0;
    bool runs = false;
    uint64_t History(uint64_t turn_tokens) const {
      return static_cast<uint64_t>(turn) * turn_tokens;
    }
  };

  double Pause() {
    return std::exponential_distribution<double>(1 /
                                                 spec_.mean_pause_ms)(random_);
  }

  Program NewProgram() {
    Program program;
    program.id = 1000 + next_id_++;
    program.part = 1 + random_() % spec_.shared_parts;
    return program;
  }

  /// Returns the tokens that a gateway expects in the cache. It doesn't see
  /// what an engine evicts, so without homes it expects a part in use
  /// everywhere.
  uint64_t ExpectedTokens(const Program& program, size_t engine) const {
    const PrefixCache& cache = caches_[engine];
    const uint64_t shared = cache.TokensOf(program.part);
    const uint64_t history = cache.TokensOf(program.id);
    if (shared > 0 && history > 0) return shared + history;
    if (!with_homes_ || share_ >= 1) return kSharedTokens;
    const uint64_t hash =
        (engine_hashes_[engine] ^ program.part) * 0x9E3779B97F4A7C15ULL;
    return IsHome(hash ^ (hash >> 29), share_) ? kSharedTokens : 0;
  }

  size_t Place(const Program& program) {
    std::vector<UpstreamView> views;
    for (size_t i = 0; i < caches_.size(); ++i) {
      UpstreamView view;
      view.index = static_cast<uint32_t>(i);
      view.slots = spec_.slots;
      view.running = std::min(running_[i], spec_.slots);
      view.queued = running_[i] - view.running;
      view.queued_decode_tokens = uint64_t{40} * running_[i];
      view.prefill_tokens_per_s = 80000;
      view.decode_tokens_per_s = 180;
      view.batch_slowdown = 0.004;
      view.cached_tokens = ExpectedTokens(program, i);
      views.push_back(view);
    }
    PlacementCall call;
    call.prompt_tokens =
        kSharedTokens + program.History(spec_.turn_tokens) + spec_.turn_tokens;
    call.expected_output_tokens = 40;
    call.random = random_();
    return PlaceCall(call, views).index;
  }

  void Begin(size_t number, double at_ms) {
    Program& program = programs_[number];
    mix_.Record(program.part, kSharedTokens, call_tokens_,
                Ms{std::llround(at_ms)});
    share_ = HomeShare(mix_.MemoryOf(spec_.memory_tokens, spec_.slots));
    program.engine = Place(program);
    program.runs = true;
    ++running_[program.engine];
    ++calls_;
    PrefixCache& cache = caches_[program.engine];
    const uint64_t history = program.History(spec_.turn_tokens);
    // A history is of no use without the part before it.
    const bool has_shared = cache.TokensOf(program.part) > 0;
    if (!has_shared) again_ += kSharedTokens;
    if (!has_shared || cache.TokensOf(program.id) == 0) again_ += history;
    cache.Start(program.id, history + spec_.turn_tokens);
    cache.Use(program.part, kSharedTokens);
    events_.emplace(at_ms + spec_.call_ms, number);
  }

  void End(size_t number, double at_ms) {
    Program& program = programs_[number];
    program.runs = false;
    --running_[program.engine];
    caches_[program.engine].End(
        program.id, program.History(spec_.turn_tokens) + spec_.turn_tokens);
    if (++program.turn == spec_.turns) program = NewProgram();
    events_.emplace(at_ms + Pause(), number);
  }

  BoundMemory spec_;
  bool with_homes_;
  std::mt19937_64 random_;
  double call_tokens_ = 0;
  std::vector<PrefixCache> caches_;
  std::vector<uint32_t> running_;
  std::vector<uint64_t> engine_hashes_;
  std::vector<Program> programs_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  PromptMix mix_;
  double share_ = 1;
  uint64_t next_id_ = 0;
  uint64_t again_ = 0;
  uint64_t calls_ = 0;
};

constexpr uint64_t kSeeds[] = {1, 2, 3};

// Guards against shared parts that occupy so much of each engine's memory that
// the histories of programs are evicted between their turns.
TEST_CASE("homes keep histories in a memory that binds") {
  for (const size_t programs : {32, 40, 50}) {
    for (const uint64_t seed : kSeeds) {
      CAPTURE(programs);
      CAPTURE(seed);
      BoundMemory spec;
      spec.programs = programs;
      MemoryPlayer player(spec, seed, true);
      const double without = MemoryPlayer(spec, seed, false).Play();
      const double with_homes = player.Play();
      CHECK(player.share() == kLeastShare);
      // Without homes, the load is one in which a call prefills half of a turn
      // again or more.
      CHECK(without > 0.5 * static_cast<double>(spec.turn_tokens));
      CHECK(with_homes < 0.5 * without);
    }
  }
}

}  // namespace
}  // namespace knapweed
