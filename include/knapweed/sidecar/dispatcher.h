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

struct DispatcherOptions {
  UpstreamId upstream;
  std::string incarnation;
  /// Calls that run at the upstream at once.
  int slots = 8;
  size_t max_queued = 1024;
  uint32_t partition_count = 64;
  AttemptMemoryOptions attempts;
};

/// A dispatch that is queued or runs.
struct ActiveCall {
  wire::DispatchT dispatch;
  uint64_t ticket = 0;
  Ms arrived;
  Ms started;
  Ms deadline;
  bool running = false;
  /// Ends a running model call at its next piece.
  std::atomic<bool> cancelled{false};
  /// Gets the pieces of the answer.
  std::optional<ReplyHandle> stream_to;
  /// All who wait for the result. Of the dispatcher only.
  std::vector<ReplyHandle> listeners;
};

/// Runs one call at the upstream and returns what came of it. Called on a
/// worker's thread; blocks.
using CallRunner = std::function<UpstreamOutcome(const ActiveCall& call)>;
/// Called when a running model call should end; must not block.
using CancelHook = std::function<void(const AttemptId& attempt)>;

/// Decides for each dispatch whether it may run, keeps it queued in the order
/// of the policy, and passes it on at most once. Safe from any thread.
class Dispatcher {
 public:
  Dispatcher(const DispatcherOptions& options, const Clock& clock,
             Metrics& metrics, CallRunner run, CancelHook on_cancel);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// Takes dispatches from now on; before, all are refused as not run.
  void Open(std::span<const Epoch> floor);
  /// Refuses new dispatches as not run; those queued still run.
  void BeginDrain();
  /// Waits until nothing is queued or runs. False after the timeout.
  bool WaitIdle(Ms timeout);
  /// Cancels what can be cancelled, and waits for the rest of what runs. Queued
  /// calls stay unanswered. Also done by the destructor.
  void Stop();
  /// While the upstream is down, queued and new dispatches end as not run.
  void SetUpstreamUp(bool up);

  void Submit(wire::DispatchT dispatch, const ReplyHandle& reply);
  /// An AttemptReply, or a Failure for an asker that is itself fenced off.
  wire::BodyUnion Query(const wire::AttemptQueryT& query);
  void Cancel(const AttemptId& attempt);
  /// False when the epoch is older than one seen.
  bool Fence(PartitionId partition, Epoch epoch);
  /// Takes in what is known of a request's crashes; no upstream and no crashes
  /// clears it.
  void ReportCrash(const wire::CrashReportT& report);
  /// Notes that the upstream died under this request.
  void RecordCrash(uint64_t digest);

  /// Ends calls whose deadline passed or whose callers are all gone, and drops
  /// old attempts. Called every few tens of milliseconds.
  void Tick();

  wire::LoadT Load() const;
  bool draining() const;
  nlohmann::json ToJson() const;

 private:
  using CallPtr = std::shared_ptr<ActiveCall>;

  void RunWorker();
  CallPtr WaitForCall();
  bool CanTakeCall() const;
  CallPtr TryTakeCall();
  CallPtr StartCall(const CallPtr& call, bool exclusive);
  void FinishRunning(ActiveCall& call, UpstreamOutcome outcome);
  /// Why a dispatch can't even be queued.
  bool CheckAdmission(const wire::DispatchT& dispatch, wire::ResultT* refusal);
  bool AnswerSeenAttempt(const wire::DispatchT& dispatch,
                         const ReplyHandle& reply);
  void Enqueue(wire::DispatchT dispatch, const ReplyHandle& reply);
  void EndQueued(const CallPtr& call, ErrorCode code, Ms retry_after,
                 std::string_view message);
  void CancelLocked(const CallPtr& call);
  void Refuse(const ReplyHandle& reply, wire::ResultT result);
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
  std::map<uint64_t, int64_t> local_crashes_;
  CallQueue queue_;
  SpeedMeter speed_;
  uint64_t next_ticket_ = 1;
  int running_ = 0;
  /// A suspect that waits until it can run alone.
  CallPtr waiting_suspect_;
  bool suspect_running_ = false;
  std::unordered_map<AttemptId, CallPtr> active_;
  std::unordered_map<uint64_t, CallPtr> queued_;
  std::vector<std::thread> workers_;
};

}  // namespace knapweed

#endif  // KNAPWEED_SIDECAR_DISPATCHER_H_
