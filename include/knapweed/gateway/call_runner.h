#ifndef KNAPWEED_GATEWAY_CALL_RUNNER_H_
#define KNAPWEED_GATEWAY_CALL_RUNNER_H_

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "knapweed/base/metrics.h"
#include "knapweed/gateway/budgets.h"
#include "knapweed/gateway/channel.h"
#include "knapweed/gateway/crash_probes.h"
#include "knapweed/gateway/crash_watch.h"
#include "knapweed/gateway/event_splitter.h"
#include "knapweed/gateway/held_memory.h"
#include "knapweed/gateway/permits.h"
#include "knapweed/gateway/program_starts.h"
#include "knapweed/gateway/quotas.h"
#include "knapweed/gateway/send_limits.h"
#include "knapweed/gateway/stream_versions.h"
#include "knapweed/gateway/turns.h"
#include "knapweed/policy/program_admission.h"

/// Processing of one call: checks its route, key, history, budget and rate,
/// then sends it to an upstream and retries at others where the route allows
/// it.
namespace knapweed::gateway {

/// Where an event of a run belongs in the stream that its caller reads.
enum class EventPlace : uint8_t {
  kNext,
  /// It was sent before.
  kSent,
  /// It can't be told, or events before it are missing.
  kUnknown,
};

/// A caller's request, read completely.
struct CallerRequest {
  /// As the caller sent it; it may be one that HTTP does not define.
  std::string method;
  std::string target;
  http::fields fields;
  std::shared_ptr<const std::string> body;
  CallHead head;
  Ms received;
  /// Its position among the requests of its connection; 1 for the first.
  uint32_t number_on_connection = 1;
};

/// How it was noticed that a caller is gone.
enum class CallerGone : uint8_t {
  /// It is not.
  kNo,
  /// It closed its side of the connection, perhaps only for sending.
  kClosed,
  /// The connection was reset.
  kReset,
  /// A write failed or took too long.
  kWriteFailed,
};

/// Sends the response to a caller. The front's session implements it. Writes
/// return false after the caller has disconnected.
class CallerLink {
 public:
  virtual ~CallerLink() = default;
  virtual Task<bool> WriteResponse(unsigned status, const http::fields& fields,
                                   std::string_view body) = 0;
  virtual Task<bool> BeginStream(unsigned status,
                                 const http::fields& fields) = 0;
  virtual Task<bool> WriteChunk(std::string_view bytes) = 0;
  virtual Task<bool> EndStream() = 0;
  /// Closes the connection without ending the stream, so that the caller
  /// detects that it is incomplete.
  virtual void AbortStream() = 0;
  /// Sets a callback that is called once if the caller disconnects before its
  /// response is complete.
  virtual void OnDisconnect(std::function<void(CallerGone)> callback) = 0;
};

/// The gateway's local copy of the configuration and the list of upstreams.
/// `FleetWatch` updates it from the store.
struct FleetView {
  ConfigPtr config;
  /// Time of the last successful read that showed the configuration current.
  Ms config_confirmed_at;
  /// When that read was sent: the configuration is at least as new as this.
  Ms config_asked_at;
  UpstreamSet upstreams;
};

/// Objects that `CallRunner` uses; all references must outlive it.
struct CallRunnerDeps {
  asio::io_context& loop;
  const Clock& clock;
  const Dialect& dialect;
  FleetView& view;
  const Store& store;
  Quotas& quotas;
  ProgramStarts& starts;
  Permits& permits;
  Budgets& budgets;
  Turns& turns;
  SendLimits& send_limits;
  StreamVersions& stream_versions;
  ConnectionPool& pool;
  CrashWatch& crashes;
  CrashProbes& probes;
  HeldMemory& memory;
  Metrics& metrics;
  std::string failure_domain;
  /// First turns of programs are refused while the service is overloaded.
  bool admit_programs = false;
  /// Engines start calls by the time left to their programs and the length of
  /// their prompts, not by the operator's priority alone.
  bool order_by_slack = false;
};

/// Runs callers' requests to their end. `Gateway` owns it. All calls run on one
/// loop; not thread-safe.
class CallRunner {
 public:
  explicit CallRunner(CallRunnerDeps deps);

  /// Runs one call. Returns when the response is written or aborted.
  Task<void> Run(CallerRequest& request, CallerLink& link);
  /// From now on takes only calls that end before `at`, when the process ends:
  /// refuses those with a later deadline as not run, and shortens the deadline
  /// of idempotent ones.
  void EndAt(Ms at);
  /// Returns the number of calls that are in progress.
  size_t under_way() const { return calls_->size(); }
  /// Logs and counts each call that the end of the process cuts off. To be
  /// called last of all.
  void ReportCut() const;

 private:
  struct State;
  using StatePtr = std::shared_ptr<State>;
  enum class Step : uint8_t { kNext, kDone };

  Task<void> RunChecked(StatePtr state);
  /// Answers a call that an exception has ended.
  Task<void> RefuseAfterException(StatePtr state);
  /// Refuses a call with a field that can't be written to the store or to
  /// another gateway.
  Task<Step> CheckFields(StatePtr state);
  Task<Step> ResolveRoute(StatePtr state);
  /// Waits until the configuration has the call's route, or was read after the
  /// call arrived, for as long as the store is reachable and a read takes.
  Task<void> WaitForRoute(StatePtr state);
  /// Returns whether the configuration is newer than the call.
  bool ConfigCovers(const State& state) const;
  /// Refuses or shortens a call that may last longer than this process.
  Task<Step> RefuseIfStopping(StatePtr state);
  /// Refuses a quarantined call of which no probe may be due.
  Task<Step> CheckQuarantine(StatePtr state);
  /// Lets a quarantined call run if it gets the permission for a probe.
  Task<Step> ClaimProbe(StatePtr state);
  /// Chooses a service by the route's weights; for a stream that the caller
  /// resumes, the one that began it, with the version at which it goes on.
  Task<Step> ChooseService(StatePtr state);
  /// Refuses the call if the configuration has no such service.
  Task<Step> SetService(StatePtr state, std::string_view name);
  Task<Step> ReserveBudget(StatePtr state);
  /// Refuses the first turn of a program while the service is overloaded.
  Task<Step> AdmitProgram(StatePtr state);
  Task<Step> TakeRateToken(StatePtr state);
  /// Takes the permit of the first attempt, or refuses the call.
  Task<Step> TakeFirstPermit(StatePtr state);
  /// Takes a permit for an attempt after one that may have run the call.
  Task<Step> TakeAnotherPermit(StatePtr state);
  Task<Step> PrependHistory(StatePtr state);
  Task<void> RunAttempts(StatePtr state);
  Task<Step> RunAttempt(StatePtr state, UpstreamPtr upstream);
  Task<Step> OnResponse(StatePtr state, UpstreamPtr upstream);
  Task<Step> OnUnaryResponse(StatePtr state, UpstreamPtr upstream);
  /// Forwards a body too large to keep in memory as it arrives; `piece` is its
  /// start.
  Task<Step> ForwardBody(StatePtr state, UpstreamPtr upstream,
                         std::string piece);
  Task<Step> OnStream(StatePtr state, UpstreamPtr upstream);
  /// Binds a stream that begins to the version of its upstream.
  void RecordStreamVersion(State& state, const Upstream& upstream);
  /// Appends the events that are complete and not yet sent to `out`. Returns
  /// why the stream can't go on after them; empty if it can.
  static std::string_view TakeEvents(State& state, EventSplitter& splitter,
                                     std::string* out);
  /// Whether an event was sent already or is the next one.
  static EventPlace FindPlace(const State& state, const StreamEvent& event);
  /// Notes an event that is sent.
  static void Advance(State& state, const StreamEvent& event);
  Task<Step> OnNotRun(StatePtr state, UpstreamPtr upstream);
  Task<Step> OnBroken(StatePtr state, UpstreamPtr upstream,
                      std::string_view what);
  Task<Step> FinishStream(StatePtr state);
  /// Returns whether a turn that has ended lacks the events that another
  /// request of its caller brought.
  static bool LacksStart(const State& state);
  /// Reads these events from a run that begins anew, and ends the call.
  Task<Step> OnStart(StatePtr state, UpstreamPtr upstream);
  /// Appends the data of the events that are complete to `start`. Returns why
  /// they can't be the start of the stream; empty if they can.
  static std::string_view TakeStart(State& state, EventSplitter& splitter,
                                    std::string* start);
  /// Chooses an upstream for `OnStart`, like `ChooseWithGrant`.
  Task<UpstreamPtr> ChooseForStart(StatePtr state);
  Task<void> Refuse(StatePtr state, unsigned status, Ms retry_after,
                    std::string_view reason);
  /// Counts an attempt in the load of its upstream.
  void BeginLoad(State& state, Upstream& upstream);
  void RecordPromptMix(const State& state);
  /// Takes the attempt's prompt out of the prefill that is pending.
  static void EndPrefill(State& state, Upstream& upstream);
  /// Measures the upstream by events that have arrived just now.
  void RecordEvents(State& state, Upstream& upstream, uint64_t events);
  /// Leaves out the present span if a write to the caller delayed it.
  void SkipCallerWait(State& state, Ms write_began);
  /// Measures the upstream by a complete answer that is not a stream.
  void RecordAnswer(const State& state, Upstream& upstream);
  /// Takes an attempt that has ended out of the load of its upstream; no effect
  /// if it is not in it.
  void EndLoad(State& state, Upstream& upstream);
  /// Ends the time for which the call waits for its first event.
  void StopWaiting(State& state);
  /// Returns the priority of the present attempt at an engine.
  int PriorityFor(const State& state) const;
  /// Returns the calls at a service that wait for their first event.
  WaitingCalls WaitingAt(const std::string& service) const;
  /// Treats an upstream that did not answer as cold: it may have crashed, and
  /// its next incarnation can have the same id and address.
  void SuspectRestart(Upstream& upstream) const;
  void MarkDraining(const State& state, const UpstreamPtr& upstream);
  /// Takes over the limit that the response to a request sent at `sent_at`
  /// states or does not state.
  void RecordLimit(const State& state, const UpstreamPtr& upstream, Ms sent_at);
  ChoiceInput ChoiceFor(const State& state);
  /// Chooses an upstream to which the call may be sent now; waits for that if
  /// the limits of all are used up. Refuses the call and returns null if there
  /// is none.
  Task<UpstreamPtr> ChooseWithGrant(StatePtr state);
  /// Waits for a grant of the upstream whose limit first allows a request.
  Task<UpstreamPtr> WaitForGrant(StatePtr state, UpstreamPtr upstream);
  /// Logs an attempt that goes on with a stream after its first event.
  static void LogResume(const State& state, const Upstream& upstream);
  /// Returns whether the next attempt begins a stream that may be resumed.
  static bool BeginsStream(const State& state);
  /// Returns the place where a stream of the call begins at `upstream`.
  static RouteOrigin PlaceOf(const State& state, const Upstream& upstream);
  UpstreamRequest MakeRequest(const State& state, const Upstream& upstream);
  /// Returns the Retry-After time of a call that is refused because the store
  /// is unreachable.
  Ms StoreRetryAfter() const;
  bool MayRunAgain(const State& state) const;
  static uint64_t DigestOf(const State& state);
  void StartDeadlineTimer(const StatePtr& state);
  void Report(const State& state);
  /// Time since the process began to stop; zero if it does not.
  Ms StoppingFor() const;
  static void LogOverRate(const State& state, const QuotaVerdict& verdict);

  /// Calls that wait for their first event at one service.
  struct Waiting {
    uint32_t count = 0;
    /// Sum of the times at which they were sent.
    Ms sent_at_sum;
  };

  CallRunnerDeps deps_;
  std::map<std::string, Waiting, std::less<>> waiting_;
  std::map<std::string, ProgramPace, std::less<>> paces_;
  std::mt19937_64 random_;
  using Calls = std::set<const State*>;
  /// Calls in progress. Shared, since those that are cut off at the end of the
  /// process outlive this object.
  std::shared_ptr<Calls> calls_ = std::make_shared<Calls>();
  /// When the process ends, and when it began to stop, if it is stopping.
  std::optional<Ms> ends_at_;
  Ms stopping_since_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_CALL_RUNNER_H_
