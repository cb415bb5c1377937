#ifndef KNAPWEED_BENCHMARKS_RIG_RIG_H_
#define KNAPWEED_BENCHMARKS_RIG_RIG_H_

#include <cstdint>
#include <string>
#include <vector>

#include "benchmarks/rig/fakes.h"
#include "knapweed/policy/placement.h"

namespace knapweed::rig {

enum class PlacementRule : uint8_t {
  kExpectedFinish,
  kRoundRobin,
  kLeastLoad,
  kAffinity,
  /// Exact load, every prefix cached, no queue.
  kOracle,
};

/// The parts of the policy that a run uses.
struct PolicyConfig {
  std::string name;
  PlacementRule rule = PlacementRule::kExpectedFinish;
  PlacementOptions placement;
  bool fair_queue = true;
  double ageing_tokens_per_ms = 1;
  bool working_set_gate = true;
  bool attained_service = true;
  bool cache_events = true;
  bool own_dispatches = true;
  bool pins = false;
  bool release_on_end = true;
  bool breaker = true;
  bool retry = true;
  bool cache_moves = true;
  bool admission = true;
  bool quarantine = true;
  bool loop_detection = true;
};

/// One program that no other program started.
struct ProgramResult {
  uint32_t workspace = 0;
  double latency_s = 0;
  bool failed = false;
  /// Loops or crashes engines; left out of the measures.
  bool faulty = false;
};

struct RunResult {
  std::vector<ProgramResult> programs;
  double recomputed_tokens = 0;
  double cacheable_tokens = 0;
  uint64_t calls = 0;
  uint64_t refusals = 0;
  uint64_t crashes = 0;
  uint64_t cache_moves = 0;
  /// Mean over time of the histories of all programs under way, in tokens.
  double live_tokens = 0;
  /// Sum over calls.
  double queue_wait_s = 0;
};

/// Runs the programs against fake engines under a policy. The same arguments
/// give the same result.
RunResult Run(const Deployment& deployment, const Scenario& scenario,
              const std::vector<ProgramSpec>& programs,
              const PolicyConfig& policy, uint64_t seed);

}  // namespace knapweed::rig

#endif  // KNAPWEED_BENCHMARKS_RIG_RIG_H_
