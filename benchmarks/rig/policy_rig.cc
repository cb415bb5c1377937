#include <popt.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <string>
#include <utility>
#include <vector>

#include "benchmarks/rig/rig.h"

namespace knapweed::rig {
namespace {

/// The measures of one run; times in seconds. `recomputed` is a share of the
/// cacheable tokens.
struct Measures {
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  double recomputed = 0;
  double worst_slowdown = 0;
  uint64_t refusals = 0;
  uint64_t crashes = 0;
  size_t failed = 0;
  double live_tokens = 0;
};

/// A measured value and its upper bound.
struct Check {
  std::string name;
  double value = 0;
  double bound = 0;
};

/// Returns the `q` quantile of the values, zero if there are none.
double Quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  const auto i = static_cast<size_t>(q * static_cast<double>(values.size()));
  const auto nth = values.begin() +
                   static_cast<std::ptrdiff_t>(std::min(i, values.size() - 1));
  std::nth_element(values.begin(), nth, values.end());
  return *nth;
}

/// Returns the total latency of the programs of each of `n` workspaces, without
/// the faulty ones.
std::vector<double> LatencyByWorkspace(const RunResult& run, size_t n) {
  std::vector<double> sums(n);
  for (const ProgramResult& it : run.programs) {
    if (!it.faulty) sums[it.workspace] += it.latency_s;
  }
  return sums;
}

/// Returns the ratio of the highest to the median slowdown of a workspace,
/// where slowdown is relative to the oracle. A flooding workspace is not
/// counted.
double WorstSlowdown(const RunResult& run, const RunResult& oracle,
                     const Deployment& deployment, const Scenario& scenario) {
  const auto sums = LatencyByWorkspace(run, deployment.workspaces);
  const auto oracle_sums = LatencyByWorkspace(oracle, deployment.workspaces);
  std::vector<double> slowdowns;
  for (size_t i = 0; i < sums.size(); ++i) {
    if (static_cast<int32_t>(i) == scenario.flooding_workspace ||
        oracle_sums[i] == 0)
      continue;
    slowdowns.push_back(sums[i] / oracle_sums[i]);
  }
  return *std::max_element(slowdowns.begin(), slowdowns.end()) /
         Quantile(slowdowns, 0.5);
}

Measures Measure(const RunResult& run, const RunResult& oracle,
                 const Deployment& deployment, const Scenario& scenario) {
  std::vector<double> latencies;
  Measures m;
  for (const ProgramResult& it : run.programs) {
    if (it.faulty) continue;
    if (static_cast<int32_t>(it.workspace) == scenario.flooding_workspace)
      continue;
    latencies.push_back(it.latency_s);
    m.failed += it.failed ? 1 : 0;
  }
  m.p50 = Quantile(latencies, 0.5);
  m.p95 = Quantile(latencies, 0.95);
  m.p99 = Quantile(latencies, 0.99);
  m.recomputed = run.recomputed_tokens / std::max(run.cacheable_tokens, 1.0);
  m.worst_slowdown = WorstSlowdown(run, oracle, deployment, scenario);
  m.refusals = run.refusals;
  m.live_tokens = run.live_tokens;
  m.crashes = run.crashes;
  return m;
}

std::vector<Scenario> Scenarios() {
  std::vector<Scenario> all(12);
  all[0].name = "half";
  all[0].load = 0.5;
  all[1].name = "busy";
  all[2].name = "flood";
  all[2].flooding_workspace = 3;
  all[3].name = "dawn";
  all[3].load_peak = true;
  all[4].name = "slow_engine";
  all[4].slow_engine = true;
  all[5].name = "dead_engine";
  all[5].engine_outage = true;
  all[6].name = "late_events";
  all[6].late_events = true;
  all[7].name = "crashing_request";
  all[7].load = 0.6;
  all[7].crashing_request = true;
  all[8].name = "loops";
  all[8].loops = true;
  all[9].name = "tight_half";
  all[9].load = 0.5;
  all[9].tight_memory = true;
  all[10].name = "tight_busy";
  all[10].tight_memory = true;
  all[11].name = "flood_large";
  all[11].flooding_workspace = 0;
  return all;
}

/// Returns a policy that has this placement rule and few other mechanisms.
PolicyConfig Baseline(const std::string& name, PlacementRule rule) {
  PolicyConfig policy;
  policy.name = name;
  policy.rule = rule;
  policy.fair_queue = false;
  policy.attained_service = false;
  policy.pins = false;
  policy.release_on_end = false;
  policy.cache_moves = false;
  policy.admission = false;
  policy.working_set_gate = false;
  return policy;
}

std::vector<PolicyConfig> Baselines() {
  PolicyConfig first_come;
  first_come.name = "first_come";
  first_come.fair_queue = false;
  first_come.attained_service = false;
  first_come.working_set_gate = false;
  return {Baseline("oracle", PlacementRule::kOracle),
          Baseline("round_robin", PlacementRule::kRoundRobin),
          Baseline("least_load", PlacementRule::kLeastLoad),
          Baseline("affinity", PlacementRule::kAffinity), first_come};
}

/// Returns the full policy, followed by rows with one mechanism switched off
/// ("-") or on ("+").
std::vector<PolicyConfig> AblationRows() {
  std::vector<PolicyConfig> rows;
  const auto add = [&](const char* name) -> PolicyConfig& {
    rows.emplace_back();
    rows.back().name = name;
    return rows.back();
  };
  add("knapweed");
  add("-working_set").working_set_gate = false;
  add("+pins").pins = true;
  PolicyConfig& no_hysteresis = add("-hysteresis");
  no_hysteresis.placement.home_bonus = Ms{0};
  no_hysteresis.placement.home_bonus_share = 0;
  add("-held_up").placement.prefill_interference_weight = 0;
  add("-stale_discount").placement.view_half_life = Seconds(1000000);
  add("-cross_domain").placement.cross_domain_penalty = Ms{0};
  add("-fair_queue").fair_queue = false;
  add("-attained").attained_service = false;
  add("-ageing").ageing_tokens_per_ms = 0;
  add("-cache_events").cache_events = false;
  add("-own_dispatches").own_dispatches = false;
  add("-release").release_on_end = false;
  add("-breaker").breaker = false;
  add("-retry").retry = false;
  add("-cache_moves").cache_moves = false;
  add("-admission").admission = false;
  add("-quarantine").quarantine = false;
  add("-loop_detection").loop_detection = false;
  return rows;
}

void PrintRow(const std::string& name, const Measures& m) {
  std::printf(
      "| %s | %.1f | %.1f | %.1f | %.3f | %.2f | %llu | %llu | %zu | %.1f |\n",
      name.c_str(), m.p50, m.p95, m.p99, m.recomputed, m.worst_slowdown,
      static_cast<unsigned long long>(m.refusals),
      static_cast<unsigned long long>(m.crashes), m.failed,
      m.live_tokens / 1e6);
}

/// Command-line options. An empty deployment or scenario means all.
struct Options {
  int seed = 1;
  std::string deployment;
  std::string scenario;
  bool ablations = false;
  std::string known_failures_path;
};

std::vector<Deployment> Deployments(const Options& options) {
  std::vector<Deployment> all = {Ishikari(), Tirna()};
  std::erase_if(all, [&](const Deployment& it) {
    return !options.deployment.empty() && it.name != options.deployment;
  });
  return all;
}

/// Prints a table of measures for each deployment and scenario.
void PrintReport(const Options& options) {
  const auto seed = static_cast<uint64_t>(options.seed);
  for (const Deployment& deployment : Deployments(options)) {
    for (const Scenario& scenario : Scenarios()) {
      if (!options.scenario.empty() && options.scenario != scenario.name) {
        continue;
      }
      const auto programs =
          WorkloadGenerator(deployment, scenario, seed).Generate();
      std::printf("\n%s, %s, seed %d\n\n", deployment.name.c_str(),
                  scenario.name.c_str(), options.seed);
      std::printf(
          "| policy | p50 s | p95 s | p99 s | recomputed | worst/median | "
          "refused | crashes | failed | live Mtok "
          "|\n|---|---|---|---|---|---|---|---|---|---|"
          "\n");
      std::vector<PolicyConfig> rows = Baselines();
      for (const PolicyConfig& policy : AblationRows()) {
        rows.push_back(policy);
        if (!options.ablations) break;
      }
      const RunResult oracle =
          Run(deployment, scenario, programs, rows.front(), seed);
      for (const PolicyConfig& policy : rows) {
        const RunResult run = Run(deployment, scenario, programs, policy, seed);
        PrintRow(policy.name, Measure(run, oracle, deployment, scenario));
      }
    }
  }
}

Measures MeasurePolicy(const Deployment& deployment, const Scenario& scenario,
                       const PolicyConfig& policy, uint64_t seed) {
  const auto programs =
      WorkloadGenerator(deployment, scenario, seed).Generate();
  const RunResult oracle =
      Run(deployment, scenario, programs, Baselines().front(), seed);
  const RunResult run = Run(deployment, scenario, programs, policy, seed);
  return Measure(run, oracle, deployment, scenario);
}

/// Returns the measured values of one deployment with their bounds.
std::vector<Check> BoundChecks(const Deployment& deployment, uint64_t seed) {
  const std::vector<Scenario> scenarios = Scenarios();
  const std::vector<PolicyConfig> baselines = Baselines();
  const PolicyConfig full_policy = AblationRows().front();
  const auto measure = [&](size_t scenario, const PolicyConfig& policy) {
    return MeasurePolicy(deployment, scenarios[scenario], policy, seed);
  };
  const Measures half = measure(0, full_policy);
  const Measures oracle_half = measure(0, baselines[0]);
  const Measures busy = measure(1, full_policy);
  const Measures least_load = measure(1, baselines[2]);
  const Measures affinity = measure(1, baselines[3]);
  const Measures flood = measure(2, full_policy);
  const Measures crashing = measure(7, full_policy);
  const Measures flood_large = measure(11, full_policy);
  const Measures tight = measure(10, full_policy);
  const Measures tight_least_load = measure(10, baselines[2]);
  const Measures tight_affinity = measure(10, baselines[3]);
  const std::string deployment_name = deployment.name;
  const auto refused =
      static_cast<double>(half.refusals + busy.refusals + flood.refusals);
  return {
      {deployment_name + ".p95_to_baseline_at_80",
       busy.p95 / std::min(least_load.p95, affinity.p95), 0.6},
      {deployment_name + ".p95_to_oracle_at_50", half.p95 / oracle_half.p95,
       1.3},
      {deployment_name + ".recomputed_at_50", half.recomputed, 0.10},
      {deployment_name + ".tight_p95_to_baseline_at_80",
       tight.p95 / std::min(tight_least_load.p95, tight_affinity.p95), 0.6},
      {deployment_name + ".tight_recomputed_at_80", tight.recomputed, 0.10},
      {deployment_name + ".recomputed_at_80", busy.recomputed, 0.10},
      {deployment_name + ".worst_to_median_in_flood", flood.worst_slowdown,
       1.25},
      {deployment_name + ".worst_to_median_in_large_flood",
       flood_large.worst_slowdown, 1.25},
      {deployment_name + ".refusals_within_rate", refused, 0},
      {deployment_name + ".crashes_of_one_request",
       static_cast<double>(crashing.crashes), 2},
  };
}

/// Returns the names of the checks that the file lists as known failures, in
/// lines "test: policy_rig NAME".
std::vector<std::string> KnownFailures(const std::string& path) {
  const std::string prefix = "test: policy_rig ";
  std::vector<std::string> names;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    if (line.rfind(prefix, 0) == 0) names.push_back(line.substr(prefix.size()));
  }
  return names;
}

/// Prints every check. Returns how many exceed their bound and are not known
/// failures.
int RunChecks(const Options& options) {
  const std::vector<std::string> known =
      KnownFailures(options.known_failures_path);
  int broken = 0;
  for (const Deployment& deployment : Deployments(options)) {
    const auto seed = static_cast<uint64_t>(options.seed);
    for (const Check& check : BoundChecks(deployment, seed)) {
      const bool held = check.value <= check.bound;
      const bool listed =
          std::find(known.begin(), known.end(), check.name) != known.end();
      const char* verdict = held ? "held" : listed ? "KNOWN RED" : "BROKEN";
      std::printf("%-40s %8.3f  bound %6.3f  %s\n", check.name.c_str(),
                  check.value, check.bound, verdict);
      broken += held || listed ? 0 : 1;
    }
  }
  return broken;
}

int Main(int argc, const char** argv) {
  int seed = 1;
  int ablations = 0;
  const char* deployment = nullptr;
  const char* scenario = nullptr;
  const char* known_failures_path = nullptr;
  const poptOption table[] = {
      {"seed", 's', POPT_ARG_INT, &seed, 0, "Random seed", "N"},
      {"parts", 'p', POPT_ARG_NONE, &ablations, 0,
       "Add a row for each switched mechanism", nullptr},
      {"deployment", 'd', POPT_ARG_STRING, &deployment, 0,
       "Run only this deployment", "NAME"},
      {"scenario", 'c', POPT_ARG_STRING, &scenario, 0, "Run only this scenario",
       "NAME"},
      {"check", 0, POPT_ARG_STRING, &known_failures_path, 0,
       "Check the bounds; FILE lists the checks known to fail", "FILE"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
  const int rc = poptGetNextOpt(context);
  poptFreeContext(context);
  if (rc < -1) {
    std::fprintf(stderr, "policy_rig: %s\n", poptStrerror(rc));
    return 2;
  }
  Options options;
  options.seed = seed;
  options.ablations = ablations != 0;
  if (deployment != nullptr) options.deployment = deployment;
  if (scenario != nullptr) options.scenario = scenario;
  if (known_failures_path == nullptr) {
    PrintReport(options);
    return 0;
  }
  options.known_failures_path = known_failures_path;
  return RunChecks(options) == 0 ? 0 : 1;
}

}  // namespace
}  // namespace knapweed::rig

int main(int argc, const char** argv) {
  return knapweed::rig::Main(argc, argv);
}
