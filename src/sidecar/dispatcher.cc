#include "knapweed/sidecar/dispatcher.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "absl/strings/str_cat.h"
#include "knapweed/base/log.h"
#include "knapweed/sidecar/program_hash.h"

namespace knapweed {
namespace {

constexpr Logger kLog("sidecar");
constexpr Ms kBusyRetryAfter = Seconds(1);
constexpr Ms kStartingRetryAfter{500};
/// Deadline of a dispatch that has none, and upper limit of all others.
constexpr Ms kMaxCallDuration = Seconds(600);

bool HasControlCharacter(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char c) {
    return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
  });
}

// Attempt, workspace and program are sent to the upstream in headers and the
// path in the request line, so they must not contain control characters.
bool IsWellFormed(const wire::DispatchT& dispatch) {
  const bool has_attempt = !dispatch.attempt.empty();
  const bool has_target =
      IsModelCall(dispatch) || dispatch.path.starts_with('/');
  return has_attempt && has_target && !HasControlCharacter(dispatch.attempt) &&
         !HasControlCharacter(dispatch.workspace) &&
         !HasControlCharacter(dispatch.program) &&
         !HasControlCharacter(dispatch.path) &&
         dispatch.path.find(' ') == std::string::npos;
}

uint64_t EstimatedTokens(const wire::DispatchT& dispatch) {
  return std::max<uint64_t>(1, dispatch.prompt_tokens);
}

RunState RunStateOf(const wire::ResultT& result) {
  if (result.failure == nullptr) return RunState::kRan;
  return static_cast<RunState>(result.failure->run);
}

bool AllListenersDisconnected(const ActiveCall& call) {
  return std::all_of(call.listeners.begin(), call.listeners.end(),
                     [](const ReplyHandle& it) { return it.PeerGone(); });
}

QueuedCall ToQueuedCall(const ActiveCall& call) {
  const wire::DispatchT& dispatch = call.dispatch;
  QueuedCall queued;
  queued.ticket = call.ticket;
  queued.workspace_hash = HashBytes(dispatch.workspace);
  queued.program_hash = ProgramHash(dispatch.workspace, dispatch.program);
  queued.weight = dispatch.weight > 0 ? dispatch.weight : 1;
  queued.attained_tokens = dispatch.attained_tokens;
  queued.workspace_tokens = dispatch.workspace_tokens;
  queued.cost_tokens = EstimatedTokens(dispatch);
  queued.queued_at = call.arrived;
  queued.deadline = call.deadline;
  return queued;
}

}  // namespace

Dispatcher::Dispatcher(const DispatcherOptions& options, const Clock& clock,
                       Metrics& metrics, CallRunner run, CancelHook on_cancel)
    : options_(options),
      clock_(clock),
      metrics_(metrics),
      run_(std::move(run)),
      on_cancel_(std::move(on_cancel)),
      fence_(options.partition_count),
      attempts_(options.attempts, options.partition_count) {
  for (int i = 0; i < options_.slots; ++i) {
    workers_.emplace_back([this] { RunWorker(); });
  }
}

Dispatcher::~Dispatcher() { Stop(); }

void Dispatcher::Stop() {
  {
    const std::lock_guard lock(mu_);
    stopping_ = true;
    for (const auto& [attempt, call] : active_) {
      if (call->running) CancelLocked(call);
    }
  }
  work_cv_.notify_all();
  for (std::thread& worker : workers_) worker.join();
  workers_.clear();
}

void Dispatcher::Open(std::span<const Epoch> floor) {
  const std::lock_guard lock(mu_);
  fence_.Raise(floor);
  open_ = true;
}

void Dispatcher::BeginDrain() {
  const std::lock_guard lock(mu_);
  draining_ = true;
}

bool Dispatcher::WaitIdle(Ms timeout) {
  std::unique_lock lock(mu_);
  return idle_cv_.wait_for(lock, std::chrono::milliseconds(timeout.count),
                           [this] { return active_.empty(); });
}

void Dispatcher::SetUpstreamUp(bool up) {
  const std::lock_guard lock(mu_);
  upstream_up_ = up;
  if (up) return;
  std::vector<CallPtr> waiting;
  for (const auto& [attempt, call] : active_) {
    if (!call->running) waiting.push_back(call);
  }
  for (const CallPtr& call : waiting) {
    EndQueued(call, ErrorCode::kUpstreamFailed, kBusyRetryAfter,
              "the upstream is down");
  }
}

void Dispatcher::Submit(wire::DispatchT dispatch, const ReplyHandle& reply) {
  const std::lock_guard lock(mu_);
  wire::ResultT refusal;
  if (!CheckAdmission(dispatch, &refusal)) {
    return Refuse(reply, std::move(refusal));
  }
  if (AnswerSeenAttempt(dispatch, reply)) return;
  if (!upstream_up_) {
    return Refuse(reply,
                  FailedResult(ErrorCode::kUpstreamFailed, RunState::kNotRun,
                               kBusyRetryAfter, "the upstream is down"));
  }
  if (queued_.size() >= options_.max_queued) {
    return Refuse(reply, FailedResult(ErrorCode::kOverloaded, RunState::kNotRun,
                                      kBusyRetryAfter, "the queue is full"));
  }
  Enqueue(std::move(dispatch), reply);
}

bool Dispatcher::CheckAdmission(const wire::DispatchT& dispatch,
                                wire::ResultT* refusal) {
  if (!open_) {
    *refusal = FailedResult(ErrorCode::kOverloaded, RunState::kNotRun,
                            kStartingRetryAfter, "the sidecar is starting");
  } else if (draining_) {
    *refusal = FailedResult(ErrorCode::kLeaving, RunState::kNotRun, Ms{0},
                            "the upstream is leaving");
  } else if (!IsWellFormed(dispatch) ||
             !fence_.Has(PartitionId{dispatch.partition})) {
    *refusal = FailedResult(ErrorCode::kBadRequest, RunState::kNotRun, Ms{0},
                            "the dispatch is not well formed");
  } else if (!fence_.Admit(PartitionId{dispatch.partition},
                           Epoch{dispatch.epoch})) {
    *refusal = FailedResult(ErrorCode::kFenced, RunState::kNotRun, Ms{0},
                            "the partition has a newer owner");
  } else if (quarantine_.VerdictOf(dispatch.digest, WallTime()) ==
             QuarantineVerdict::kQuarantined) {
    *refusal = FailedResult(ErrorCode::kQuarantined, RunState::kNotRun, Ms{0},
                            "this request crashed several upstreams");
  } else {
    return true;
  }
  return false;
}

bool Dispatcher::AnswerSeenAttempt(const wire::DispatchT& dispatch,
                                   const ReplyHandle& reply) {
  const AttemptId attempt(dispatch.attempt);
  const AttemptView view = attempts_.Find(attempt);
  switch (view.phase) {
    case AttemptPhase::kNeverSeen:
      return false;
    case AttemptPhase::kRunning:
      active_.at(attempt)->listeners.push_back(reply);
      return true;
    case AttemptPhase::kRefused:
      Refuse(reply, FailedResult(ErrorCode::kFenced, RunState::kNotRun, Ms{0},
                                 "the attempt was given up before it came"));
      return true;
    case AttemptPhase::kEnded:
    case AttemptPhase::kDropped:
      break;
  }
  if (view.result != nullptr) {
    reply.Send(Wrap(wire::ResultT(*view.result)));
  } else {
    Refuse(reply, FailedResult(ErrorCode::kOutcomeUnknown, view.run, Ms{0},
                               "the attempt's result is not kept any more"));
  }
  return true;
}

void Dispatcher::Enqueue(wire::DispatchT dispatch, const ReplyHandle& reply) {
  auto call = std::make_shared<ActiveCall>();
  call->dispatch = std::move(dispatch);
  call->ticket = next_ticket_++;
  call->arrived = clock_.Now();
  const Ms requested{call->dispatch.deadline_ms};
  call->deadline =
      call->arrived + (requested > Ms{0} ? std::min(requested, kMaxCallDuration)
                                         : kMaxCallDuration);
  call->stream_to = reply;
  call->listeners.push_back(reply);
  const AttemptId attempt(call->dispatch.attempt);
  attempts_.Begin(attempt, PartitionId{call->dispatch.partition});
  active_.emplace(attempt, call);
  queued_.emplace(call->ticket, call);
  queue_.Push(ToQueuedCall(*call));
  metrics_.GetCounter("sidecar.dispatches").Add();
  work_cv_.notify_one();
}

void Dispatcher::Refuse(const ReplyHandle& reply, wire::ResultT result) {
  const auto code = static_cast<ErrorCode>(result.failure->code);
  metrics_
      .GetCounter(
          absl::StrCat("sidecar.refused.", std::string(ErrorCodeName(code))))
      .Add();
  result.load = std::make_unique<wire::LoadT>(LoadLocked());
  result.upstream = options_.upstream.value;
  reply.Send(Wrap(std::move(result)));
}

void Dispatcher::RunWorker() {
  while (const CallPtr call = WaitForCall()) {
    UpstreamOutcome outcome = run_(*call);
    FinishRunning(*call, std::move(outcome));
  }
}

Dispatcher::CallPtr Dispatcher::WaitForCall() {
  std::unique_lock lock(mu_);
  while (true) {
    work_cv_.wait(lock, [this] { return stopping_ || CanTakeCall(); });
    if (stopping_) return nullptr;
    if (CallPtr call = TryTakeCall()) return call;
  }
}

bool Dispatcher::CanTakeCall() const {
  if (suspect_running_) return false;
  if (waiting_suspect_ != nullptr) return running_ == 0;
  return queue_.size() > 0;
}

Dispatcher::CallPtr Dispatcher::TryTakeCall() {
  CallPtr call = std::exchange(waiting_suspect_, nullptr);
  if (call == nullptr) {
    const auto popped = queue_.Pop(clock_.Now());
    if (!popped.has_value()) return nullptr;
    call = queued_.at(popped->ticket);
  }
  const wire::DispatchT& dispatch = call->dispatch;
  if (clock_.Now() >= call->deadline) {
    EndQueued(call, ErrorCode::kDeadlineExceeded, kBusyRetryAfter,
              "the deadline passed in the queue");
    return nullptr;
  }
  // The partition's owner may have changed while the call was queued.
  if (!fence_.Admit(PartitionId{dispatch.partition}, Epoch{dispatch.epoch})) {
    EndQueued(call, ErrorCode::kFenced, Ms{0},
              "the partition has a newer owner");
    return nullptr;
  }
  switch (quarantine_.VerdictOf(dispatch.digest, WallTime())) {
    case QuarantineVerdict::kQuarantined:
      EndQueued(call, ErrorCode::kQuarantined, Ms{0},
                "this request crashed several upstreams");
      return nullptr;
    case QuarantineVerdict::kSuspect:
      if (running_ == 0) return StartCall(call, true);
      waiting_suspect_ = call;
      return nullptr;
    case QuarantineVerdict::kClear:
      break;
  }
  return StartCall(call, false);
}

Dispatcher::CallPtr Dispatcher::StartCall(const CallPtr& call, bool exclusive) {
  queued_.erase(call->ticket);
  call->running = true;
  call->started = clock_.Now();
  suspect_running_ = exclusive;
  ++running_;
  metrics_.GetLatency("sidecar.queue_ms")
      .Record(static_cast<double>((call->started - call->arrived).count));
  // One notification may stand for several queued calls.
  if (CanTakeCall()) work_cv_.notify_one();
  return call;
}

void Dispatcher::FinishRunning(ActiveCall& call, UpstreamOutcome outcome) {
  metrics_.GetLatency("sidecar.upstream_ms")
      .Record(static_cast<double>((clock_.Now() - call.started).count));
  const std::lock_guard lock(mu_);
  --running_;
  suspect_running_ = false;
  if (outcome.result.failure == nullptr) {
    if (IsModelCall(call.dispatch)) speed_.Record(outcome);
    const auto used = static_cast<int64_t>(outcome.result.prompt_tokens +
                                           outcome.result.completion_tokens);
    const auto cost = static_cast<int64_t>(EstimatedTokens(call.dispatch));
    queue_.Settle(HashBytes(call.dispatch.workspace), call.dispatch.weight,
                  std::max<int64_t>(used, 1) - cost);
  }
  CompleteCall(call, std::move(outcome.result));
  work_cv_.notify_all();
}

void Dispatcher::EndQueued(const CallPtr& call, ErrorCode code, Ms retry_after,
                           std::string_view message) {
  queue_.Remove(call->ticket);
  queued_.erase(call->ticket);
  if (waiting_suspect_ == call) waiting_suspect_ = nullptr;
  metrics_
      .GetCounter(absl::StrCat("sidecar.ended_in_queue.",
                               std::string(ErrorCodeName(code))))
      .Add();
  CompleteCall(*call,
               FailedResult(code, RunState::kNotRun, retry_after, message));
}

// Records the result before any listener receives it.
void Dispatcher::CompleteCall(ActiveCall& call, wire::ResultT result) {
  const Ms now = clock_.Now();
  const AttemptId attempt(call.dispatch.attempt);
  result.queue_ms = ((call.running ? call.started : now) - call.arrived).count;
  result.upstream = options_.upstream.value;
  active_.erase(attempt);
  result.load = std::make_unique<wire::LoadT>(LoadLocked());
  const auto stored = std::make_shared<const wire::ResultT>(std::move(result));
  attempts_.End(attempt, RunStateOf(*stored), stored, now);
  for (const ReplyHandle& listener : call.listeners) {
    listener.Send(Wrap(wire::ResultT(*stored)));
  }
  if (active_.empty()) idle_cv_.notify_all();
}

wire::BodyUnion Dispatcher::Query(const wire::AttemptQueryT& query) {
  const std::lock_guard lock(mu_);
  const PartitionId partition{query.partition};
  if (!open_ || !fence_.Admit(partition, Epoch{query.epoch})) {
    wire::FailureT failure;
    failure.code = static_cast<uint8_t>(open_ ? ErrorCode::kFenced
                                              : ErrorCode::kOverloaded);
    failure.run = static_cast<uint8_t>(RunState::kUnknown);
    failure.retry_after_ms = open_ ? 0 : kStartingRetryAfter.count;
    failure.message =
        open_ ? "the asker's epoch is old" : "the sidecar is starting";
    return Wrap(std::move(failure));
  }
  const AttemptId attempt(query.attempt);
  const AttemptView view = attempts_.FindForSuccessor(attempt, partition);
  if (view.phase == AttemptPhase::kNeverSeen) {
    attempts_.Refuse(attempt, partition, clock_.Now());
  }
  wire::AttemptReplyT reply;
  reply.incarnation = options_.incarnation;
  reply.state = view.phase == AttemptPhase::kRunning
                    ? kAttemptStateRunning
                    : static_cast<uint8_t>(view.run);
  if (view.result != nullptr) {
    reply.result = std::make_unique<wire::ResultT>(*view.result);
  }
  return Wrap(std::move(reply));
}

void Dispatcher::Cancel(const AttemptId& attempt) {
  const std::lock_guard lock(mu_);
  const auto it = active_.find(attempt);
  if (it != active_.end()) CancelLocked(CallPtr(it->second));
}

// A running call of a plain service can't be cancelled.
void Dispatcher::CancelLocked(const CallPtr& call) {
  if (!call->running) {
    EndQueued(call, ErrorCode::kCancelled, Ms{0}, "the call was cancelled");
    return;
  }
  if (!IsModelCall(call->dispatch) || call->cancelled.exchange(true)) return;
  metrics_.GetCounter("sidecar.cancelled_running").Add();
  on_cancel_(AttemptId(call->dispatch.attempt));
}

bool Dispatcher::Fence(PartitionId partition, Epoch epoch) {
  const std::lock_guard lock(mu_);
  return fence_.Admit(partition, epoch);
}

void Dispatcher::ReportCrash(const wire::CrashReportT& report) {
  const std::lock_guard lock(mu_);
  CrashRecord record;
  record.digest = report.digest;
  record.at = report.at_ms > 0 ? Ms{report.at_ms} : WallTime();
  record.cleared = report.crashes == 0;
  record.upstream_hash = record.cleared ? 0 : HashBytes(report.upstream);
  if (record.cleared) local_crashes_.erase(report.digest);
  quarantine_.Merge(record);
  // The report names one upstream and gives the number of all; made-up hashes
  // stand for the others.
  for (uint32_t i = 1;
       i < report.crashes && i < QuarantineOptions().min_upstreams; ++i) {
    ++record.upstream_hash;
    quarantine_.Merge(record);
  }
}

void Dispatcher::RecordCrash(uint64_t digest) {
  kLog.Warning("The upstream failed while running a request.",
               {{"digest", std::to_string(digest)}});
  const std::lock_guard lock(mu_);
  CrashRecord record;
  record.digest = digest;
  record.upstream_hash = HashBytes(options_.upstream.value);
  record.at = WallTime();
  quarantine_.Merge(record);
  ++local_crashes_[digest];
}

void Dispatcher::Tick() {
  const std::lock_guard lock(mu_);
  const Ms now = clock_.Now();
  std::vector<CallPtr> expired;
  std::vector<CallPtr> abandoned;
  for (const auto& [attempt, call] : active_) {
    if (!call->running && now >= call->deadline) {
      expired.push_back(call);
    } else if (AllListenersDisconnected(*call)) {
      abandoned.push_back(call);
    }
  }
  for (const CallPtr& call : expired) {
    EndQueued(call, ErrorCode::kDeadlineExceeded, kBusyRetryAfter,
              "the deadline passed in the queue");
  }
  for (const CallPtr& call : abandoned) CancelLocked(call);
  attempts_.Expire(now);
  if (running_ == 0 && waiting_suspect_ != nullptr) work_cv_.notify_one();
}

wire::LoadT Dispatcher::Load() const {
  const std::lock_guard lock(mu_);
  return LoadLocked();
}

wire::LoadT Dispatcher::LoadLocked() const {
  wire::LoadT load;
  load.incarnation = options_.incarnation;
  load.queued = static_cast<uint32_t>(queued_.size());
  load.running = static_cast<uint32_t>(running_);
  load.slots = static_cast<uint32_t>(options_.slots);
  load.queued_tokens = queue_.queued_tokens();
  load.decode_tokens_per_s = speed_.decode_tokens_per_s();
  load.prefill_tokens_per_s = speed_.prefill_tokens_per_s();
  load.leaving = draining_;
  return load;
}

bool Dispatcher::draining() const {
  const std::lock_guard lock(mu_);
  return draining_;
}

}  // namespace knapweed
