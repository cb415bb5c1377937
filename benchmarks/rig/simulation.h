#ifndef KNAPWEED_BENCHMARKS_RIG_SIMULATION_H_
#define KNAPWEED_BENCHMARKS_RIG_SIMULATION_H_

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <span>
#include <tuple>
#include <utility>
#include <vector>

#include "benchmarks/rig/rig.h"
#include "knapweed/policy/cache_view.h"
#include "knapweed/policy/call_queue.h"
#include "knapweed/policy/circuit_breaker.h"
#include "knapweed/policy/load_view.h"
#include "knapweed/policy/loop_detector.h"
#include "knapweed/policy/pins.h"
#include "knapweed/policy/quarantine.h"
#include "knapweed/policy/retry.h"
#include "knapweed/policy/working_set.h"

namespace knapweed::rig {

inline constexpr Ms kHeartbeatInterval{1000};
inline constexpr Ms kHopDelay{1};
inline constexpr Ms kCallTimeout{120000};
inline constexpr Ms kRestartDelay{15000};
inline constexpr Ms kCrashDelay{50};
inline constexpr Ms kLateEventDelay{5000};
/// Prefill tokens that cost an engine as much as one decoded token.
inline constexpr double kPrefillTokensPerServiceToken = 20;
/// KV cache of a token, and what a transfer between engines runs at.
inline constexpr uint64_t kBytesPerToken = 160000;
inline constexpr double kLinkBytesPerS = 2.5e9;
inline constexpr Ms kTransferSetup{20};
/// Events carry a program number and a sequence in one word.
inline constexpr int kProgramBits = 24;
inline constexpr uint64_t kSharedPrefixKeyBase = uint64_t{1} << 40;

enum class EventKind : uint8_t {
  kArrive,
  kNextTurn,
  kDispatch,
  kReachSidecar,
  kEngineStep,
  kHeartbeat,
  kCacheEvent,
  kCrash,
  kRestart,
  kSlowDown,
};

struct Event {
  Ms at;
  uint64_t order = 0;
  EventKind kind = EventKind::kArrive;
  uint64_t target = 0;
  uint64_t payload = 0;
  bool operator>(const Event& other) const {
    return std::tie(at, order) > std::tie(other.at, other.order);
  }
};

/// What the loop detector sees of a turn.
inline uint64_t TurnDigest(const Turn& turn) {
  return (uint64_t{turn.new_tokens} << 40) ^
         (uint64_t{turn.output_tokens} << 20) ^
         static_cast<uint64_t>(turn.tool_time.count);
}

/// Weights follow what each workspace sends within its rate: the two large ones
/// three times as much as the others.
inline double WorkspaceWeight(uint64_t workspace) {
  return workspace < 2 ? 3 : 1;
}

struct Program {
  size_t turn = 0;
  uint64_t history = 0;
  uint32_t home = kNoUpstream;
  double attained_tokens = 0;
  Ms paused_at;
  bool started = false;
  bool done = false;
  LoopDetector loop;
};

struct Call {
  uint32_t program = 0;
  uint64_t prompt_tokens = 0;
  uint32_t upstream = kNoUpstream;
  uint32_t attempts = 1;
  Ms deadline;
  Ms queued_at;
  bool cache_transferred = false;
  uint32_t transfer_source = kNoUpstream;
};

struct Sidecar {
  Sidecar(const Deployment& deployment, bool ideal,
          const CallQueueOptions& options)
      : engine(deployment, ideal), queue(options) {}
  FakeEngine engine;
  CallQueue queue;
  bool up = true;
  uint64_t step_version = 0;
  /// Sequence of the cache events sent to each entry.
  std::vector<uint64_t> event_sequences;
  double eviction_tokens_per_s = 0;
  std::vector<uint64_t> deferred_calls;
};

struct Entry {
  CacheView cache;
  std::vector<LoadView> loads;
  std::vector<CircuitBreaker> breakers;
  RetryBudget retry_budget;
  ToolTimes tool_times;
  double expected_output_tokens = 150;
  /// Histories of the programs under way, and those that wait to start.
  double live_tokens = 0;
  CallQueue waiting_programs;
  WorkingSetGate gate;
  uint64_t round_robin = 0;
};

/// The discrete events of one run: entries that place calls, sidecars that
/// queue them, and the fakes.
class Simulation {
 public:
  Simulation(const Deployment& deployment, const Scenario& scenario,
             const std::vector<ProgramSpec>& specs, const PolicyConfig& policy,
             uint64_t seed)
      : deployment_(deployment),
        scenario_(scenario),
        specs_(specs),
        policy_(policy),
        random_(seed),
        programs_(specs.size()),
        workspace_tokens_(deployment.workspaces) {
    if (scenario.tight_memory) deployment_.cache_tokens /= 2;
    CallQueueOptions options;
    options.fair = policy.fair_queue;
    options.ageing_tokens_per_ms = policy.ageing_tokens_per_ms;
    for (uint32_t i = 0; i < deployment.engines; ++i) {
      sidecars_.push_back(
          std::make_unique<Sidecar>(deployment_, UsesOracle(), options));
      sidecars_.back()->event_sequences.resize(deployment.entries);
    }
    entries_.resize(deployment.entries);
    for (Entry& entry : entries_) {
      entry.loads.resize(deployment.engines);
      entry.gate = MakeWorkingSetGate(deployment_.cache_tokens *
                                      deployment.engines / deployment.entries);
      entry.breakers.resize(deployment.engines);
      for (LoadView& load : entry.loads) load.report = ReportOf(0);
    }
  }

  RunResult Run();

 private:
  bool UsesOracle() const { return policy_.rule == PlacementRule::kOracle; }
  void Schedule(Ms at, EventKind kind, uint64_t target = 0,
                uint64_t payload = 0) {
    events_.push({at, order_++, kind, target, payload});
  }
  Entry& EntryOf(uint32_t program) {
    return entries_[program % entries_.size()];
  }
  double RandomUnit() {
    return std::uniform_real_distribution<double>()(random_);
  }

  void HandleEvent(const Event& event);
  bool MayStart(const Entry& entry) const {
    return !policy_.working_set_gate ||
           MayStartProgram(entry.gate, entry.live_tokens);
  }
  void QueueForStart(uint32_t program, Entry& entry);
  void StartWaitingPrograms(Entry& entry);
  void StartTurn(uint32_t program);
  void Dispatch(uint64_t id);
  uint32_t Place(const Call& call, Entry& entry);
  uint32_t PlaceByExpectedFinish(const Call& call, Entry& entry);
  void FillViews(const Call& call, Entry& entry);
  void MaybeMoveCache(uint64_t id, Entry& entry);
  void ReachSidecar(uint64_t id);
  bool Admit(uint64_t id, Sidecar& sidecar);
  void Enqueue(uint64_t id, Sidecar& sidecar);
  void StartCalls(uint32_t upstream);
  void StartOnEngine(uint64_t id, Sidecar& sidecar, uint32_t upstream);
  void ScheduleStep(uint32_t upstream);
  void EngineStep(uint32_t upstream);
  void FinishCall(const EngineCall& done, uint32_t upstream);
  void FinishTurn(uint32_t program, uint32_t upstream);
  void EndProgram(uint32_t program, bool failed);
  void PinHistory(uint32_t program, uint32_t upstream);
  void RenewPins();
  void HandleFailure(uint64_t id, ErrorCode code, RunState run);
  void Crash(uint32_t upstream, Ms down_for);
  void Heartbeat();
  void PublishEvictions(uint32_t upstream);
  void ApplyCacheEvent(uint32_t upstream, uint64_t key);
  LoadReport ReportOf(uint32_t upstream);
  std::vector<PrefixSegment> PromptSegments(uint32_t program,
                                            uint64_t history) const;
  uint64_t ExpectedCached(const Call& call, Entry& entry, uint32_t upstream);
  uint64_t ServiceCost(uint64_t prefill, double output) const {
    return static_cast<uint64_t>(
        static_cast<double>(prefill) / kPrefillTokensPerServiceToken + output);
  }
  QuarantineVerdict VerdictOf(uint64_t id) {
    if (!policy_.quarantine) return QuarantineVerdict::kClear;
    return quarantine_.VerdictOf(calls_[id].program + 1, now_);
  }
  bool RunsSuspectProgram(const Sidecar& sidecar) {
    return std::any_of(sidecar.engine.running().begin(),
                       sidecar.engine.running().end(), [&](const auto& it) {
                         return VerdictOf(it.id) != QuarantineVerdict::kClear;
                       });
  }

  Deployment deployment_;
  Scenario scenario_;
  const std::vector<ProgramSpec>& specs_;
  PolicyConfig policy_;
  std::mt19937_64 random_;
  std::vector<Program> programs_;
  std::vector<Call> calls_;
  std::vector<std::unique_ptr<Sidecar>> sidecars_;
  std::vector<Entry> entries_;
  std::vector<double> workspace_tokens_;
  std::vector<UpstreamView> views_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  Quarantine quarantine_;
  RunResult result_;
  Ms now_;
  uint64_t order_ = 0;
  size_t unfinished_roots_ = 0;
  uint64_t heartbeats_ = 0;
};

}  // namespace knapweed::rig

#endif  // KNAPWEED_BENCHMARKS_RIG_SIMULATION_H_
