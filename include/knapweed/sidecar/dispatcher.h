#ifndef KNAPWEED_SIDECAR_DISPATCHER_H_
#define KNAPWEED_SIDECAR_DISPATCHER_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <span>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "knapweed/base/metrics.h"
#include "knapweed/policy/call_queue.h"
#include "knapweed/policy/quarantine.h"
#include "knapweed/sidecar/attempt_memory.h"
#include "knapweed/sidecar/epoch_fence.h"
#include "knapweed/sidecar/speed_meter.h"
#include "knapweed/sidecar/upstream_call.h"
#include "knapweed/wire/rpc.h"

namespace knapweed {

/// Identity and limits of a Dispatcher.
struct DispatcherOptions {
  UpstreamId upstream;
  /// Identifies this run of the sidecar in replies.
  std::string incarnation;
  /// Maximum number of calls that run at the upstream concurrently.
  int slots = 8;
  /// Maximum number of queued calls; further ones are refused.
  size_t max_queued = 1024;
  uint32_t partition_count = 64;
  AttemptMemoryOptions attempts;
};

/// A dispatch that is queued or running.
struct ActiveCall {
  wire::DispatchT dispatch;
  /// Key of the call in the queue.
  uint64_t ticket = 0;
  Ms arrived;
  Ms started;
  Ms deadline;
  bool running = false;
  /// Set to end a running model call at the next piece of its reply.
  std::atomic<bool> cancelled{false};
  /// The peer that sent the dispatch first; receives the reply's pieces as they
  /// arrive.
  std::optional<ReplyHandle> stream_to;
  /// All peers waiting for the result. Accessed by Dispatcher only.
  std::vector<ReplyHandle> listeners;
};

/// Runs one call at the upstream and returns its outcome. Called on a worker
/// thread; blocks.
using CallRunner = std::function<UpstreamOutcome(const ActiveCall& call)>;
/// Called to cancel a running model call at the engine; must not block.
using CancelHook = std::function<void(const AttemptId& attempt)>;

/// Admits or refuses each dispatch, queues it in the order of the scheduling
/// policy, and runs each attempt at most once on one of `slots` worker threads.
/// Owned by Sidecar. Thread-safe.
class Dispatcher {
 public:
  Dispatcher(const DispatcherOptions& options, const Clock& clock,
             Metrics& metrics, CallRunner run, CancelHook on_cancel);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// Starts admitting dispatches, with the lowest accepted epoch of each
  /// partition. Before, all are refused as not run.
  void Open(std::span<const Epoch> floor);
  /// Refuses new dispatches as not run; queued calls still run.
  void BeginDrain();
  /// Blocks until no call is queued or running. False on timeout.
  bool WaitIdle(Ms timeout);
  /// Cancels the running model calls and blocks until no call runs. Queued
  /// calls get no reply. Also called by the destructor.
  void Stop();
  /// While the upstream is down, queued and new dispatches fail as not run.
  void SetUpstreamUp(bool up);

  /// Queues a dispatch, attaches `reply` to the same attempt if that is queued
  /// or running, or replies at once with a refusal or the stored result.
  void Submit(wire::DispatchT dispatch, const ReplyHandle& reply);
  /// Returns an AttemptReply with the state of an attempt, or a Failure if the
  /// sender's epoch is too old or the sidecar is starting. An attempt that was
  /// never seen is refused from then on.
  wire::BodyUnion Query(const wire::AttemptQueryT& query);
  /// Ends a queued call, and cancels a running model call. A running call of a
  /// plain service goes on.
  void Cancel(const AttemptId& attempt);
  /// Raises the lowest accepted epoch of a partition. False if the epoch is
  /// older than one seen before, or there is no such partition.
  bool Fence(PartitionId partition, Epoch epoch);
  /// Merges a report of crashes that a request caused at other upstreams. A
  /// report without an upstream and with zero crashes clears the request.
  void ReportCrash(const wire::CrashReportT& report);
  /// Records that the upstream failed while running this request.
  void RecordCrash(uint64_t digest);

  /// Ends queued calls whose deadline passed, cancels calls whose callers have
  /// all disconnected, and drops old attempts. Called every few tens of
  /// milliseconds.
  void Tick();

  /// Returns the queue length, running calls and measured speed for replies and
  /// heartbeats.
  wire::LoadT Load() const;
  bool draining() const;
  /// Returns the state for the control address.
  nlohmann::json ToJson() const;

 private:
  using CallPtr = std::shared_ptr<ActiveCall>;

  /// Runs calls on a worker thread until Stop.
  void RunWorker();
  /// Blocks until a call may start. Null once stopping.
  CallPtr WaitForCall();
  /// Whether a worker may take a call now. None may be taken while a suspect
  /// runs, or waits until the running calls have ended.
  bool CanTakeCall() const;
  /// Takes the next call if it may start. Null if it ended in the queue or must
  /// wait to run exclusively.
  CallPtr TryTakeCall();
  CallPtr StartCall(const CallPtr& call, bool exclusive);
  void FinishRunning(ActiveCall& call, UpstreamOutcome outcome);
  /// Whether a dispatch may be queued. If not, sets `refusal`.
  bool CheckAdmission(const wire::DispatchT& dispatch, wire::ResultT* refusal);
  /// Replies to an attempt seen before, or attaches `reply` to it while it
  /// runs. False if it was never seen.
  bool AnswerSeenAttempt(const wire::DispatchT& dispatch,
                         const ReplyHandle& reply);
  void Enqueue(wire::DispatchT dispatch, const ReplyHandle& reply);
  /// Fails a queued call as not run.
  void EndQueued(const CallPtr& call, ErrorCode code, Ms retry_after,
                 std::string_view message);
  void CancelLocked(const CallPtr& call);
  /// Replies with a failed result, without a record of the attempt.
  void Refuse(const ReplyHandle& reply, wire::ResultT result);
  /// Records the result and sends it to all listeners.
  void CompleteCall(ActiveCall& call, wire::ResultT result);
  wire::LoadT LoadLocked() const;

  const DispatcherOptions options_;
  const Clock clock_;
  Metrics& metrics_;
  const CallRunner run_;
  const CancelHook on_cancel_;

  mutable std::mutex mu_;
  std::condition_variable work_cv_;
  std::condition_variable idle_cv_;
  bool open_ = false;
  bool draining_ = false;
  bool stopping_ = false;
  bool upstream_up_ = true;
  EpochFence fence_;
  AttemptMemory attempts_;
  Quarantine quarantine_;
  /// Number of crashes of this upstream, by request digest.
  std::map<uint64_t, int64_t> local_crashes_;
  CallQueue queue_;
  SpeedMeter speed_;
  uint64_t next_ticket_ = 1;
  int running_ = 0;
  /// A request that the quarantine suspects of crashing upstreams. Taken from
  /// the policy's queue, it waits until no other call runs.
  CallPtr waiting_suspect_;
  bool suspect_running_ = false;
  /// Queued and running calls.
  std::unordered_map<AttemptId, CallPtr> active_;
  /// Queued calls by ticket.
  std::unordered_map<uint64_t, CallPtr> queued_;
  std::vector<std::thread> workers_;
};

}  // namespace knapweed

#endif  // KNAPWEED_SIDECAR_DISPATCHER_H_
