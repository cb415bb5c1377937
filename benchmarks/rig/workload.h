#ifndef KNAPWEED_BENCHMARKS_RIG_WORKLOAD_H_
#define KNAPWEED_BENCHMARKS_RIG_WORKLOAD_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "knapweed/base/clock.h"

/// The generated workload of the policy rig.
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

}  // namespace knapweed::rig

#endif  // KNAPWEED_BENCHMARKS_RIG_WORKLOAD_H_
