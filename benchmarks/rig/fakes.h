#ifndef KNAPWEED_BENCHMARKS_RIG_FAKES_H_
#define KNAPWEED_BENCHMARKS_RIG_FAKES_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <random>
#include <span>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "knapweed/base/clock.h"

/// Fakes of model engines and of callers for the policy rig.
namespace knapweed::rig {

/// One step of a chain: what is added to the history, what the model answers,
/// and how long the tool takes after it. `sub_agent` is the index of the
/// program that runs in place of the tool, or -1.
struct Turn {
  uint32_t new_tokens = 0;
  uint32_t output_tokens = 0;
  Ms tool_time;
  int32_t sub_agent = -1;
};

struct ProgramSpec {
  uint32_t workspace = 0;
  Ms arrives_at;
  int32_t parent = -1;
  /// Tokens that all programs of the workspace begin with; for a sub-agent, the
  /// parent's history at its start.
  uint32_t base_tokens = 0;
  std::vector<Turn> turns;
  bool looping = false;
  /// Crashes each engine that runs its first call.
  bool crashing = false;
};

/// Sizes of one user's deployment and of its callers.
struct Deployment {
  std::string name;
  uint32_t engines = 12;
  uint32_t domains = 3;
  uint32_t workspaces = 8;
  uint32_t entries = 3;
  uint32_t slots = 32;
  double prefill_tokens_per_s = 10000;
  double decode_tokens_per_s = 60;
  double batch_slowdown = 0.02;
  /// Rate of decoding while a prefill runs beside it.
  double decode_share_during_prefill = 0.6;
  /// Memory for KV cache beside the weights: 96 GB at 160 KB a token.
  uint64_t cache_tokens = 600000;
  uint32_t shared_tokens = 1500;
  double first_prompt_tokens = 600;
  double tool_result_tokens = 300;
  double output_tokens = 110;
  double tool_time_s = 1.5;
  double turns = 6;
  double sub_agent_share = 0.04;
};

inline Deployment Ishikari() {
  Deployment d;
  d.name = "ishikari";
  return d;
}

inline Deployment Tirna() {
  Deployment d;
  d.name = "tirna";
  d.engines = 14;
  d.shared_tokens = 4000;
  d.first_prompt_tokens = 1200;
  d.tool_result_tokens = 700;
  d.tool_time_s = 2.5;
  d.turns = 8;
  return d;
}

/// How a scenario differs from steady load.
struct Scenario {
  std::string name;
  double load = 0.8;
  Ms duration = Seconds(900);
  bool load_peak = false;
  /// Workspace that sends five times its rate, or -1.
  int32_t flooding_workspace = -1;
  bool slow_engine = false;
  bool engine_outage = false;
  bool late_events = false;
  bool crashing_request = false;
  bool loops = false;
  /// Half the cache memory.
  bool tight_memory = false;
};

/// Draws programs of one deployment.
class WorkloadGenerator {
 public:
  WorkloadGenerator(const Deployment& deployment, const Scenario& scenario,
                    uint64_t seed)
      : deployment_(deployment), scenario_(scenario), random_(seed) {}

  /// Programs in the order of their arrival, each followed by its sub-agents.
  std::vector<ProgramSpec> Generate() {
    std::vector<ProgramSpec> programs;
    const double required_work =
        scenario_.load * deployment_.engines * scenario_.duration.Seconds();
    // Arrival times come last, so that the offered work is what was asked for.
    std::vector<size_t> roots;
    for (double work = 0; work < required_work;) {
      const size_t root = programs.size();
      roots.push_back(root);
      GenerateProgram(programs, DrawWorkspace(), -1, deployment_.shared_tokens);
      for (size_t i = root; i < programs.size(); ++i)
        work += EngineSeconds(programs[i]);
    }
    SetArrivals(programs, roots);
    if (scenario_.flooding_workspace >= 0)
      AddFloodPrograms(programs, roots.size());
    if (scenario_.loops) AddLoopingTurns(programs, roots);
    if (scenario_.crashing_request) programs[roots[5]].crashing = true;
    return programs;
  }

 private:
  double DrawUniform() {
    return std::uniform_real_distribution<double>()(random_);
  }

  double DrawLogNormal(double median, double sigma) {
    return std::lognormal_distribution<double>(std::log(median),
                                               sigma)(random_);
  }

  uint32_t DrawTokens(double median, double sigma, double max_tokens) {
    return static_cast<uint32_t>(
        std::clamp(DrawLogNormal(median, sigma), 1.0, max_tokens));
  }

  /// A few workspaces are large: the first two send half of all programs.
  uint32_t DrawWorkspace() {
    const uint32_t n = deployment_.workspaces;
    if (DrawUniform() < 0.5) return static_cast<uint32_t>(random_() % 2);
    return 2 + static_cast<uint32_t>(random_() % (n - 2));
  }

  void GenerateProgram(std::vector<ProgramSpec>& programs, uint32_t workspace,
                       int32_t parent, uint32_t base) {
    const size_t index = programs.size();
    programs.emplace_back();
    ProgramSpec spec;
    spec.workspace = workspace;
    spec.parent = parent;
    spec.base_tokens = base;
    const double median = parent < 0 ? deployment_.turns : 3;
    const auto n = static_cast<uint32_t>(
        std::clamp(DrawLogNormal(median, 0.9), 1.0, 100.0));
    uint32_t history = base;
    for (uint32_t i = 0; i < n; ++i) {
      Turn turn;
      turn.new_tokens =
          i == 0 ? DrawTokens(deployment_.first_prompt_tokens, 0.8, 20000)
                 : DrawTokens(deployment_.tool_result_tokens, 1.0, 8000);
      turn.output_tokens = DrawTokens(deployment_.output_tokens, 0.8, 1500);
      turn.tool_time = Ms{std::llround(
          std::min(DrawLogNormal(deployment_.tool_time_s, 1.2), 120.0) * 1000)};
      history += turn.new_tokens + turn.output_tokens;
      const bool spawns = parent < 0 && i + 1 < n &&
                          DrawUniform() < deployment_.sub_agent_share;
      if (spawns) {
        turn.sub_agent = static_cast<int32_t>(programs.size());
        GenerateProgram(programs, workspace, static_cast<int32_t>(index),
                        history);
      }
      spec.turns.push_back(turn);
    }
    programs[index] = std::move(spec);
  }

  /// Engine seconds that a program takes when its whole history is cached.
  double EngineSeconds(const ProgramSpec& spec) const {
    double prefill_tokens = 0;
    double output = 0;
    for (const Turn& turn : spec.turns) {
      prefill_tokens += turn.new_tokens;
      output += turn.output_tokens;
    }
    const double tokens_per_s =
        deployment_.slots * deployment_.decode_tokens_per_s /
        (1 + deployment_.batch_slowdown * (deployment_.slots - 1));
    const double prefill = prefill_tokens / deployment_.prefill_tokens_per_s;
    return prefill * (1 - deployment_.decode_share_during_prefill) +
           output / tokens_per_s;
  }

  /// Load over time relative to its mean: low at night, high at dawn.
  double RelativeLoad(double x) const {
    if (!scenario_.load_peak) return 1;
    return 0.6 + 0.9 * std::exp(-std::pow((x - 0.45) / 0.12, 2));
  }

  void SetArrivals(std::vector<ProgramSpec>& programs,
                   const std::vector<size_t>& roots) {
    std::vector<Ms> times;
    while (times.size() < roots.size()) {
      const double x = DrawUniform();
      if (DrawUniform() * 1.5 > RelativeLoad(x)) continue;
      times.push_back(
          Ms{std::llround(x * static_cast<double>(scenario_.duration.count))});
    }
    std::sort(times.begin(), times.end());
    for (size_t i = 0; i < roots.size(); ++i) {
      programs[roots[i]].arrives_at = times[i];
    }
  }

  /// Four times as many programs again as the flooding workspace would send.
  void AddFloodPrograms(std::vector<ProgramSpec>& programs, size_t roots) {
    const double share = scenario_.flooding_workspace < 2
                             ? 0.25
                             : 0.5 / (deployment_.workspaces - 2);
    const auto extra =
        static_cast<size_t>(4 * share * static_cast<double>(roots));
    for (size_t i = 0; i < extra; ++i) {
      const size_t root = programs.size();
      GenerateProgram(programs,
                      static_cast<uint32_t>(scenario_.flooding_workspace), -1,
                      deployment_.shared_tokens);
      programs[root].arrives_at = Ms{std::llround(
          DrawUniform() * static_cast<double>(scenario_.duration.count))};
    }
  }

  /// One program in a hundred repeats its last turn without end.
  void AddLoopingTurns(std::vector<ProgramSpec>& programs,
                       const std::vector<size_t>& roots) {
    for (size_t i = 0; i < roots.size(); i += 100) {
      ProgramSpec& spec = programs[roots[i]];
      spec.looping = true;
      const Turn last = spec.turns.back();
      spec.turns.resize(spec.turns.size() + 200, last);
    }
  }

  Deployment deployment_;
  Scenario scenario_;
  std::mt19937_64 random_;
};

/// A piece of a prompt that can be cached apart: the workspace's shared prefix,
/// a parent's history, the program's own.
struct PrefixSegment {
  uint64_t key = 0;
  uint64_t tokens = 0;
};

/// A call as the engine runs it.
struct EngineCall {
  uint64_t id = 0;
  std::vector<PrefixSegment> segments;
  double prefill_left = 0;
  double decode_left = 0;
  uint64_t cached_tokens = 0;
  /// Tokens of KV cache that the call takes beyond what was cached.
  uint64_t kv_tokens = 0;
};

/// A model engine: batches continuously, prefills one prompt at a time beside
/// the decodes, and caches prefixes, dropping the least recently used.
class FakeEngine {
 public:
  FakeEngine(const Deployment& deployment, bool ideal)
      : deployment_(deployment), ideal_(ideal) {}

  bool HasRoom(uint64_t tokens) const {
    if (ideal_) return true;
    if (running_.size() >= deployment_.slots) return false;
    return running_.empty() ||
           running_tokens_ + tokens <= deployment_.cache_tokens;
  }

  /// Tokens at the head of a prompt that are cached.
  uint64_t CachedTokens(std::span<const PrefixSegment> segments) const {
    uint64_t tokens = 0;
    for (const PrefixSegment& segment : segments) {
      const auto it = cache_.find(segment.key);
      if (it == cache_.end()) break;
      tokens += std::min(it->second.tokens, segment.tokens);
      if (it->second.tokens < segment.tokens) break;
    }
    return tokens;
  }

  void Start(EngineCall call, uint64_t prompt_tokens, Ms now) {
    Advance(now);
    uint64_t cacheable = 0;
    for (const PrefixSegment& segment : call.segments)
      cacheable += segment.tokens;
    call.cached_tokens = ideal_ ? cacheable : CachedTokens(call.segments);
    call.prefill_left = static_cast<double>(prompt_tokens - call.cached_tokens);
    call.kv_tokens = prompt_tokens - call.cached_tokens +
                     static_cast<uint64_t>(call.decode_left);
    for (const PrefixSegment& segment : call.segments) Touch(segment.key, now);
    running_tokens_ += call.kv_tokens;
    running_.push_back(std::move(call));
    EvictToCapacity(now);
  }

  /// Moves the engine's work on to `now`.
  void Advance(Ms now) {
    const double elapsed_s = (now - advanced_to_).Seconds();
    advanced_to_ = now;
    if (elapsed_s <= 0) return;
    const auto prefilling = FirstPrefill();
    const bool during_prefill = prefilling != running_.end();
    const double decoded = elapsed_s * DecodeRate(during_prefill);
    for (EngineCall& call : running_) {
      if (call.prefill_left <= 0) call.decode_left -= decoded;
    }
    for (auto it = prefilling; it != running_.end(); ++it) {
      if (it->prefill_left <= 0) continue;
      it->prefill_left -= elapsed_s * PrefillRate();
      if (!ideal_) break;
    }
  }

  /// When the next prefill or decode ends.
  Ms NextEvent() const {
    double next_s = 1e9;
    const auto prefilling = FirstPrefill();
    const double rate = DecodeRate(prefilling != running_.end());
    for (const EngineCall& call : running_) {
      if (call.prefill_left <= 0)
        next_s = std::min(next_s, call.decode_left / rate);
    }
    for (auto it = prefilling; it != running_.end(); ++it) {
      if (it->prefill_left <= 0) continue;
      next_s = std::min(next_s, it->prefill_left / PrefillRate());
      if (!ideal_) break;
    }
    return advanced_to_ +
           Ms{std::max<int64_t>(
               1, std::llround(std::ceil(std::max(next_s, 0.0) * 1000)))};
  }

  /// Takes out the calls whose answers are complete.
  std::vector<EngineCall> TakeCompleted() {
    std::vector<EngineCall> done;
    for (size_t i = 0; i < running_.size();) {
      EngineCall& call = running_[i];
      if (call.prefill_left > 0 || call.decode_left > 1e-6) {
        ++i;
        continue;
      }
      running_tokens_ -= call.kv_tokens;
      done.push_back(std::move(call));
      running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    return done;
  }

  /// Puts parts of a prompt into the cache.
  void Store(std::span<const PrefixSegment> segments, Ms now) {
    for (const PrefixSegment& segment : segments) {
      CacheEntry& entry = cache_[segment.key];
      if (segment.tokens > entry.tokens) {
        const uint64_t added = segment.tokens - entry.tokens;
        cached_tokens_ += added;
        if (entry.pinned_until > now) pinned_tokens_ += added;
        if (IsNearlyFull())
          stored_when_full_tokens_ += static_cast<double>(added);
        entry.tokens = segment.tokens;
      }
      Touch(segment.key, now);
    }
    EvictToCapacity(now);
  }

  void Pin(uint64_t key, Ms now, Ms until) {
    const auto it = cache_.find(key);
    if (it == cache_.end()) return;
    if (it->second.pinned_until <= now) pinned_tokens_ += it->second.tokens;
    it->second.pinned_until = until;
  }

  /// Drops a pin; with `forget`, what was cached goes as well.
  void Unpin(uint64_t key, Ms now, bool drop_cached) {
    const auto it = cache_.find(key);
    if (it == cache_.end()) return;
    if (it->second.pinned_until > now) pinned_tokens_ -= it->second.tokens;
    it->second.pinned_until = Ms{0};
    if (!drop_cached) return;
    cached_tokens_ -= it->second.tokens;
    cache_.erase(it);
  }

  /// Recounts what pins hold, after some have lapsed.
  uint64_t PinnedTokens(Ms now) {
    pinned_tokens_ = 0;
    for (const auto& [key, entry] : cache_) {
      if (entry.pinned_until > now) pinned_tokens_ += entry.tokens;
    }
    return pinned_tokens_;
  }

  void Crash() {
    running_.clear();
    cache_.clear();
    evicted_.clear();
    running_tokens_ = cached_tokens_ = pinned_tokens_ = 0;
  }

  void SetSpeed(double speed) { speed_ = speed; }
  const std::vector<EngineCall>& running() const { return running_; }
  bool IsNearlyFull() const {
    return cached_tokens_ + running_tokens_ > deployment_.cache_tokens * 9 / 10;
  }
  double PrefillRate() const {
    return speed_ * deployment_.prefill_tokens_per_s;
  }
  double SingleDecodeRate() const {
    return speed_ * deployment_.decode_tokens_per_s;
  }
  /// All that is cached.
  std::vector<PrefixSegment> CachedSegments() const {
    std::vector<PrefixSegment> list;
    for (const auto& [key, entry] : cache_) list.push_back({key, entry.tokens});
    return list;
  }
  /// Keys evicted since the last call.
  std::vector<uint64_t> TakeEvicted() { return std::exchange(evicted_, {}); }
  /// Tokens stored into a full cache since the last call.
  double TakeTokensStoredWhenFull() {
    return std::exchange(stored_when_full_tokens_, 0.0);
  }

 private:
  struct CacheEntry {
    uint64_t tokens = 0;
    Ms used_at;
    Ms pinned_until;
  };

  std::vector<EngineCall>::iterator FirstPrefill() {
    return std::find_if(running_.begin(), running_.end(),
                        [](const EngineCall& c) { return c.prefill_left > 0; });
  }
  std::vector<EngineCall>::const_iterator FirstPrefill() const {
    return std::find_if(running_.begin(), running_.end(),
                        [](const EngineCall& c) { return c.prefill_left > 0; });
  }

  double DecodeRate(bool during_prefill) const {
    const double others =
        running_.empty() ? 0 : static_cast<double>(running_.size() - 1);
    const double rate =
        SingleDecodeRate() / (1 + deployment_.batch_slowdown * others);
    return during_prefill ? rate * deployment_.decode_share_during_prefill
                          : rate;
  }

  void Touch(uint64_t key, Ms now) {
    const auto it = cache_.find(key);
    if (it != cache_.end()) it->second.used_at = now;
  }

  void EvictToCapacity(Ms now) {
    while (cached_tokens_ + running_tokens_ > deployment_.cache_tokens &&
           !cache_.empty()) {
      auto victim = cache_.begin();
      for (auto it = cache_.begin(); it != cache_.end(); ++it) {
        if (EvictionRank(*it, now) < EvictionRank(*victim, now)) victim = it;
      }
      cached_tokens_ -= victim->second.tokens;
      evicted_.push_back(victim->first);
      cache_.erase(victim);
    }
  }

  /// What is evicted first: unpinned, least recently used.
  static std::tuple<bool, Ms, uint64_t> EvictionRank(
      const std::pair<const uint64_t, CacheEntry>& it, Ms now) {
    return {it.second.pinned_until > now, it.second.used_at, it.first};
  }

  Deployment deployment_;
  bool ideal_;
  double speed_ = 1;
  Ms advanced_to_;
  std::vector<EngineCall> running_;
  std::unordered_map<uint64_t, CacheEntry> cache_;
  uint64_t running_tokens_ = 0;
  uint64_t cached_tokens_ = 0;
  uint64_t pinned_tokens_ = 0;
  double stored_when_full_tokens_ = 0;
  std::vector<uint64_t> evicted_;
};

}  // namespace knapweed::rig

#endif  // KNAPWEED_BENCHMARKS_RIG_FAKES_H_
