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

/// Interval of the load reports from sidecars to entries.
inline constexpr Ms kHeartbeatInterval{1000};
/// Network delay from an entry to a sidecar.
inline constexpr Ms kHopDelay{1};
inline constexpr Ms kCallTimeout{120000};
inline constexpr Ms kRestartDelay{15000};
inline constexpr Ms kCrashDelay{50};
inline constexpr Ms kLateEventDelay{5000};
/// Prefill tokens that cost an engine as much as one decoded token. Service is
/// counted in decoded tokens.
inline constexpr double kPrefillTokensPerServiceToken = 20;
/// KV cache size of a token, and bandwidth and fixed time of a transfer between
/// engines.
inline constexpr uint64_t kBytesPerToken = 160000;
inline constexpr double kLinkBytesPerS = 2.5e9;
inline constexpr Ms kTransferSetup{20};
/// Bits of the program in the payload of a cache event; the sequence number is
/// above them.
inline constexpr int kProgramBits = 24;
/// Cache keys from here on are the shared prefixes of the workspaces; those
/// below are programs.
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

/// A scheduled event. `target` is the program, call or upstream that it is for,
/// depending on `kind`; `order` breaks ties of `at` in scheduling order.
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

/// Returns the digest of a turn for the loop detector.
inline uint64_t TurnDigest(const Turn& turn) {
  return (uint64_t{turn.new_tokens} << 40) ^
         (uint64_t{turn.output_tokens} << 20) ^
         static_cast<uint64_t>(turn.tool_time.count);
}

/// Returns the scheduling weight of a workspace, in proportion to its usual
/// rate: the two large ones send three times as much as each of the others.
inline double WorkspaceWeight(uint64_t workspace) {
  return workspace < 2 ? 3 : 1;
}

/// The state of a program. `home` is the upstream that ran its last turn.
struct Program {
  size_t turn = 0;
  uint64_t history = 0;
  uint32_t home = kNoUpstream;
  /// Service received so far.
  double attained_tokens = 0;
  Ms paused_at;
  bool started = false;
  bool done = false;
  LoopDetector loop;
};

/// One call of a program; its id is its index in Simulation::calls_.
struct Call {
  uint32_t program = 0;
  uint64_t prompt_tokens = 0;
  uint32_t upstream = kNoUpstream;
  uint32_t attempts = 1;
  Ms deadline;
  Ms queued_at;
  /// Whether the history is being transferred from the engine
  /// `transfer_source`.
  bool cache_transferred = false;
  uint32_t transfer_source = kNoUpstream;
};

/// One sidecar with its engine.
struct Sidecar {
  Sidecar(const Deployment& deployment, bool ideal,
          const CallQueueOptions& options)
      : engine(deployment, ideal), queue(options) {}
  FakeEngine engine;
  CallQueue queue;
  bool up = true;
  /// Version of the scheduled engine step; steps of older versions are ignored.
  uint64_t step_version = 0;
  /// Sequence number of the last cache event for each entry.
  std::vector<uint64_t> event_sequences;
  /// Moving average.
  double eviction_tokens_per_s = 0;
  /// Suspect calls that wait because the engine already runs a suspect call.
  std::vector<uint64_t> deferred_calls;
};

/// The state that one entry places calls by. `loads` and `breakers` are indexed
/// by upstream.
struct Entry {
  CacheView cache;
  std::vector<LoadView> loads;
  std::vector<CircuitBreaker> breakers;
  RetryBudget retry_budget;
  ToolTimes tool_times;
  /// Moving average.
  double expected_output_tokens = 150;
  /// Total history of the running programs.
  double live_tokens = 0;
  /// Programs held back by the working-set gate.
  CallQueue waiting_programs;
  WorkingSetGate gate;
  uint64_t round_robin = 0;
};

/// A discrete-event simulation of one run: entries place calls, sidecars queue
/// them, fake engines run them. Not thread-safe.
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

  /// Runs until all root programs have ended, at most for twice the duration of
  /// the scenario. Call once.
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
  /// Returns a random number in [0, 1).
  double RandomUnit() {
    return std::uniform_real_distribution<double>()(random_);
  }

  void HandleEvent(const Event& event);
  bool MayStart(const Entry& entry) const {
    return !policy_.working_set_gate ||
           MayStartProgram(entry.gate, entry.live_tokens);
  }
  /// Queues a program that the working-set gate holds back.
  void QueueForStart(uint32_t program, Entry& entry);
  /// Starts waiting programs while the working-set gate allows it.
  void StartWaitingPrograms(Entry& entry);
  void StartTurn(uint32_t program);
  /// Places a call and sends it to the sidecar.
  void Dispatch(uint64_t id);
  /// Returns the upstream for a call, or kNoUpstream.
  uint32_t Place(const Call& call, Entry& entry);
  uint32_t PlaceByExpectedFinish(const Call& call, Entry& entry);
  /// Updates `views_` to the state of all upstreams as the entry sees it.
  void FillViews(const Call& call, Entry& entry);
  /// For a call placed away from home, decides whether to transfer its cache,
  /// recompute it or run the call at home after all.
  void MaybeMoveCache(uint64_t id, Entry& entry);
  void ReachSidecar(uint64_t id);
  /// Returns whether the call is admitted; if not, schedules its retry.
  bool Admit(uint64_t id, Sidecar& sidecar);
  void Enqueue(uint64_t id, Sidecar& sidecar);
  /// Starts queued calls while the engine has room.
  void StartCalls(uint32_t upstream);
  void StartOnEngine(uint64_t id, Sidecar& sidecar, uint32_t upstream);
  void ScheduleStep(uint32_t upstream);
  void EngineStep(uint32_t upstream);
  void FinishCall(const EngineCall& done, uint32_t upstream);
  /// Ends the current turn of a program: schedules the next one, or ends the
  /// program after its last turn or when it loops.
  void FinishTurn(uint32_t program, uint32_t upstream);
  void EndProgram(uint32_t program, bool failed);
  void PinHistory(uint32_t program, uint32_t upstream);
  void RenewPins();
  /// Retries a failed call, by the retry policy or as a new attempt of the
  /// caller.
  void HandleFailure(uint64_t id, ErrorCode code, RunState run);
  /// Crashes an engine: its running and queued calls fail. In a planned outage
  /// it restarts after `down_for`, otherwise after kRestartDelay.
  void Crash(uint32_t upstream, Ms down_for);
  void Heartbeat();
  void PublishEvictions(uint32_t upstream);
  void ApplyCacheEvent(uint32_t upstream, uint64_t key);
  LoadReport ReportOf(uint32_t upstream);
  /// Returns the cacheable segments of a program with `history` tokens.
  std::vector<PrefixSegment> PromptSegments(uint32_t program,
                                            uint64_t history) const;
  /// Returns the tokens of the call that the entry expects to be cached.
  uint64_t ExpectedCached(const Call& call, Entry& entry, uint32_t upstream);
  /// Returns the cost of a call in decoded tokens.
  uint64_t ServiceCost(uint64_t prefill, double output) const {
    return static_cast<uint64_t>(
        static_cast<double>(prefill) / kPrefillTokensPerServiceToken + output);
  }
  QuarantineVerdict VerdictOf(uint64_t id) {
    if (!policy_.quarantine) return QuarantineVerdict::kClear;
    return quarantine_.VerdictOf(calls_[id].program + 1, now_);
  }
  /// Returns whether the engine runs a call that may crash it.
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
