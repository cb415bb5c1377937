#ifndef KNAPWEED_BENCHMARKS_RIG_RIG_H_
#define KNAPWEED_BENCHMARKS_RIG_RIG_H_

#include <cstdint>
#include <string>
#include <vector>

#include "benchmarks/rig/fake_engine.h"
#include "knapweed/policy/placement.h"

namespace knapweed::rig {

/// How a run selects the upstream of a call.
enum class PlacementRule : uint8_t {
  /// Lowest expected finish time, by PlaceCall.
  kExpectedFinish,
  kRoundRobin,
  kLeastLoad,
  /// Hash of the program; a sub-agent uses the hash of its parent.
  kAffinity,
  /// Bound for comparison: exact load figures, every prefix cached, no queue.
  kOracle,
};

/// The scheduling policy of a run: the placement rule, and a switch for each
/// other mechanism.
struct PolicyConfig {
  std::string name;
  PlacementRule rule = PlacementRule::kExpectedFinish;
  PlacementOptions placement;
  /// Whether sidecars queue calls fairly by workspace, not first come first
  /// served.
  bool fair_queue = true;
  double ageing_tokens_per_ms = 1;
  /// Whether programs wait to start while the histories of the running ones
  /// exceed the caches.
  bool working_set_gate = true;
  /// Whether the queue prefers programs that have received little service.
  bool attained_service = true;
  /// Whether sidecars report evictions to the entries.
  bool cache_events = true;
  /// Whether an entry adds its own recent dispatches to the reported load.
  bool own_dispatches = true;
  /// Whether engines pin the histories of paused programs.
  bool pins = false;
  /// Whether the cache of a program is dropped when it ends.
  bool release_on_end = true;
  bool breaker = true;
  bool retry = true;
  bool cache_moves = true;
  bool admission = true;
  bool quarantine = true;
  bool loop_detection = true;
};

/// The result of one root program; sub-agents count as part of their root.
struct ProgramResult {
  uint32_t workspace = 0;
  /// From arrival to the end of the last turn.
  double latency_s = 0;
  bool failed = false;
  /// Loops or crashes engines; excluded from the measures.
  bool faulty = false;
};

/// Totals of one run.
struct RunResult {
  std::vector<ProgramResult> programs;
  /// Of `cacheable_tokens`, those that were not cached and were prefilled
  /// again.
  double recomputed_tokens = 0;
  /// History tokens of all calls.
  double cacheable_tokens = 0;
  uint64_t calls = 0;
  /// Calls refused at admission, except those of a flooding workspace.
  uint64_t refusals = 0;
  uint64_t crashes = 0;
  /// Transfers of a KV cache between engines.
  uint64_t cache_moves = 0;
  /// Mean over time of the total history tokens of all running programs.
  double live_tokens = 0;
  /// Time in sidecar queues, summed over all calls.
  double queue_wait_s = 0;
};

/// Simulates the programs on fake engines under `policy`. Deterministic: the
/// same arguments give the same result.
RunResult Run(const Deployment& deployment, const Scenario& scenario,
              const std::vector<ProgramSpec>& programs,
              const PolicyConfig& policy, uint64_t seed);

}  // namespace knapweed::rig

#endif  // KNAPWEED_BENCHMARKS_RIG_RIG_H_
