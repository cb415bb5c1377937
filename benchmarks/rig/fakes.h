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

/// The generated workload and the fake model engines of the policy rig.
namespace knapweed::rig {

/// One turn of a program: the tokens appended to its history, the length of the
/// model's answer, and the time of the tool that runs after it. `sub_agent` is
/// the index of the program that runs in place of the tool, or -1.
struct Turn {
  uint32_t new_tokens = 0;
  uint32_t output_tokens = 0;
  Ms tool_time;
  int32_t sub_agent = -1;
};

/// A generated agent program. `parent` is the index of the program that starts
/// it, or -1.
struct ProgramSpec {
  uint32_t workspace = 0;
  Ms arrives_at;
  int32_t parent = -1;
  /// History at the first turn: the prefix shared by all programs of the
  /// workspace; for a sub-agent, the history of its parent when it starts.
  uint32_t base_tokens = 0;
  std::vector<Turn> turns;
  /// Repeats its last turn; see WorkloadGenerator::AddLoopingTurns.
  bool looping = false;
  /// The first call crashes every engine that runs it.
  bool crashing = false;
};

/// Sizes of one user's deployment, and the parameters of its programs.
struct Deployment {
  std::string name;
  uint32_t engines = 12;
  uint32_t domains = 3;
  uint32_t workspaces = 8;
  uint32_t entries = 3;
  /// Maximum number of sequences that an engine decodes concurrently.
  uint32_t slots = 32;
  double prefill_tokens_per_s = 10000;
  /// Decode rate of a sequence that runs alone.
  double decode_tokens_per_s = 60;
  /// Relative increase of the decode step time per additional sequence in the
  /// batch.
  double batch_slowdown = 0.02;
  /// Decode rate during a prefill, as a share of the rate without one.
  double decode_share_during_prefill = 0.6;
  /// Capacity of the KV cache of an engine: 96 GB at 160 KB per token.
  uint64_t cache_tokens = 600000;
  /// Prefix that all programs of a workspace share.
  uint32_t shared_tokens = 1500;
  /// Medians of log-normal distributions, up to `turns`.
  double first_prompt_tokens = 600;
  double tool_result_tokens = 300;
  double output_tokens = 110;
  double tool_time_s = 1.5;
  double turns = 6;
  /// Probability that a turn of a root program starts a sub-agent.
  double sub_agent_share = 0.04;
};

/// The deployment of samples/ishikari.
inline Deployment Ishikari() {
  Deployment d;
  d.name = "ishikari";
  return d;
}

/// The deployment of samples/tirna.
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

/// The load and the faults of a run.
struct Scenario {
  std::string name;
  /// Offered work as a share of the capacity of all engines.
  double load = 0.8;
  Ms duration = Seconds(900);
  /// Whether arrivals have a peak; see WorkloadGenerator::RelativeLoad.
  bool load_peak = false;
  /// Workspace that sends five times its usual number of programs, or -1.
  int32_t flooding_workspace = -1;
  /// One engine runs at half its speed after a third of the run.
  bool slow_engine = false;
  /// One engine is down for the second third of the run.
  bool engine_outage = false;
  /// Eviction reports take 5 s, and one in five is lost.
  bool late_events = false;
  /// One program crashes every engine that runs its first call.
  bool crashing_request = false;
  /// One root program in 100 loops.
  bool loops = false;
  /// Engines have half the cache capacity.
  bool tight_memory = false;
};

/// Generates the programs that the callers of one deployment send in a
/// scenario. Deterministic for a seed.
class WorkloadGenerator {
 public:
  WorkloadGenerator(const Deployment& deployment, const Scenario& scenario,
                    uint64_t seed)
      : deployment_(deployment), scenario_(scenario), random_(seed) {}

  /// Returns root programs in order of arrival, each followed by its
  /// sub-agents. The programs of a flooding workspace come last, unordered.
  std::vector<ProgramSpec> Generate() {
    std::vector<ProgramSpec> programs;
    const double required_work =
        scenario_.load * deployment_.engines * scenario_.duration.Seconds();
    // Arrival times are set after all programs exist, so that the offered work
    // matches the load whatever the sizes of the programs.
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

  /// Draws a workspace. The first two are large: they send half of all
  /// programs.
  uint32_t DrawWorkspace() {
    const uint32_t n = deployment_.workspaces;
    if (DrawUniform() < 0.5) return static_cast<uint32_t>(random_() % 2);
    return 2 + static_cast<uint32_t>(random_() % (n - 2));
  }

  /// Appends a program with `base` history tokens, and its sub-agents.
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

  /// Returns the time of one engine that a program takes if its history is
  /// always cached.
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

  /// Returns the arrival rate at the share `x` of the run: constant, or low
  /// with a peak of 1.5 at 0.45 of the run.
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

  /// Adds four times the programs that the flooding workspace usually sends, so
  /// that it sends five times its rate in total.
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

  /// Lets one root program in 100 repeat its last turn 200 times, far
  /// more often than the loop detector needs.
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

/// A segment of a prompt that is cached as a unit: the shared prefix of the
/// workspace, the history of the parent, or the program's own history. Segments
/// with the same key share their cache entry.
struct PrefixSegment {
  uint64_t key = 0;
  uint64_t tokens = 0;
};

/// A call that runs on an engine; `prefill_left` and `decode_left` are tokens.
struct EngineCall {
  uint64_t id = 0;
  std::vector<PrefixSegment> segments;
  double prefill_left = 0;
  double decode_left = 0;
  uint64_t cached_tokens = 0;
  /// KV cache tokens that the call occupies beyond those found in the cache.
  uint64_t kv_tokens = 0;
};

/// A fake model engine with continuous batching: it prefills one prompt at a
/// time while it decodes the others, and has a prefix cache with LRU eviction.
/// An `ideal` engine has unlimited room, finds every history cached and
/// prefills all prompts concurrently, each at the full rate.
class FakeEngine {
 public:
  FakeEngine(const Deployment& deployment, bool ideal)
      : deployment_(deployment), ideal_(ideal) {}

  /// Returns whether a call of this many KV cache tokens can start.
  bool HasRoom(uint64_t tokens) const {
    if (ideal_) return true;
    if (running_.size() >= deployment_.slots) return false;
    return running_.empty() ||
           running_tokens_ + tokens <= deployment_.cache_tokens;
  }

  /// Returns how many tokens at the start of a prompt are cached.
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

  /// Starts a call, which must have its id, segments and `decode_left` set.
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

  /// Advances all running calls to `now`.
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

  /// Returns when the next prefill or decode ends, at least 1 ms after the last
  /// Advance.
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

  /// Removes and returns the calls that are complete.
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

  /// Adds the segments of a prompt to the cache.
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

  /// Pins a cached segment until `until`: it is evicted only after all unpinned
  /// ones.
  void Pin(uint64_t key, Ms now, Ms until) {
    const auto it = cache_.find(key);
    if (it == cache_.end()) return;
    if (it->second.pinned_until <= now) pinned_tokens_ += it->second.tokens;
    it->second.pinned_until = until;
  }

  /// Removes a pin, and with `drop_cached` also the cached segment.
  void Unpin(uint64_t key, Ms now, bool drop_cached) {
    const auto it = cache_.find(key);
    if (it == cache_.end()) return;
    if (it->second.pinned_until > now) pinned_tokens_ -= it->second.tokens;
    it->second.pinned_until = Ms{0};
    if (!drop_cached) return;
    cached_tokens_ -= it->second.tokens;
    cache_.erase(it);
  }

  /// Returns the pinned tokens, counted anew because pins may have expired.
  uint64_t PinnedTokens(Ms now) {
    pinned_tokens_ = 0;
    for (const auto& [key, entry] : cache_) {
      if (entry.pinned_until > now) pinned_tokens_ += entry.tokens;
    }
    return pinned_tokens_;
  }

  /// Drops all running calls and the cache.
  void Crash() {
    running_.clear();
    cache_.clear();
    evicted_.clear();
    running_tokens_ = cached_tokens_ = pinned_tokens_ = 0;
  }

  /// Sets the speed relative to the normal one. Call Advance first.
  void SetSpeed(double speed) { speed_ = speed; }
  const std::vector<EngineCall>& running() const { return running_; }
  /// Returns whether over 90 % of the cache capacity is occupied.
  bool IsNearlyFull() const {
    return cached_tokens_ + running_tokens_ > deployment_.cache_tokens * 9 / 10;
  }
  double PrefillRate() const {
    return speed_ * deployment_.prefill_tokens_per_s;
  }
  /// Returns the decode rate of a sequence that runs alone, in tokens per
  /// second.
  double SingleDecodeRate() const {
    return speed_ * deployment_.decode_tokens_per_s;
  }
  /// Returns all cached segments.
  std::vector<PrefixSegment> CachedSegments() const {
    std::vector<PrefixSegment> list;
    for (const auto& [key, entry] : cache_) list.push_back({key, entry.tokens});
    return list;
  }
  /// Returns the keys evicted since the last call of this function.
  std::vector<uint64_t> TakeEvicted() { return std::exchange(evicted_, {}); }
  /// Returns the tokens stored while the cache was nearly full, since the last
  /// call of this function.
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

  /// Returns the eviction order, lowest first: unpinned before pinned, then
  /// least recently used.
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
