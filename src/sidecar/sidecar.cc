#include "knapweed/sidecar/sidecar.h"

#include <algorithm>
#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "knapweed/base/log.h"
#include "knapweed/http/server.h"
#include "knapweed/sidecar/dispatcher.h"
#include "knapweed/sidecar/engine_keeper.h"
#include "knapweed/sidecar/program_hash.h"

namespace knapweed {
namespace {

constexpr Logger kLog("sidecar");
constexpr Ms kTickInterval{25};
constexpr Ms kTableRetryDelay{500};
constexpr int kControlThreads = 4;
constexpr size_t kMaxControlBody = 64 << 10;
/// Tries to remove the row in a drain, kTableRetryDelay apart.
constexpr int kMaxRowRemovalTries = 10;

std::string Text(const absl::Status& status) {
  return absl::StrCat(status.message());
}

wire::FailureT UnsupportedMessage() {
  wire::FailureT failure;
  failure.code = static_cast<uint8_t>(ErrorCode::kBadRequest);
  failure.run = static_cast<uint8_t>(RunState::kNotRun);
  failure.message = "a sidecar does not take this message";
  return failure;
}

DispatcherOptions DispatcherOptionsOf(const SidecarConfig& config,
                                      const std::string& incarnation) {
  DispatcherOptions options;
  options.upstream = config.name;
  options.incarnation = incarnation;
  options.slots = config.slots;
  options.max_queued = config.max_queued;
  options.partition_count = config.partition_count;
  options.attempts = config.attempts;
  return options;
}

}  // namespace

struct Sidecar::Impl {
  Impl(SidecarConfig c, SidecarDirectory d, std::function<void()> on_drain)
      : config(std::move(c)),
        directory(std::move(d)),
        on_drain_requested(std::move(on_drain)),
        upstream(config.upstream),
        dispatcher(
            DispatcherOptionsOf(config, incarnation), Clock::Steady(), metrics,
            [this](const ActiveCall& call) { return RunCall(call); },
            [this](const AttemptId& attempt) {
              if (engine != nullptr) engine->Cancel(attempt);
            }) {
    if (config.models.empty()) return;
    engine = std::make_unique<EngineKeeper>(
        config.upstream, config.found_pin_lease,
        [this](bool up) { dispatcher.SetUpstreamUp(up); });
  }

  absl::Status Listen();
  /// Reads the epochs and writes the sidecar's row; retries until it succeeds
  /// or the sidecar stops.
  void Register();
  void StopRegistering();
  SidecarRecord MakeRecord(bool leaving) const;
  void MarkRowLeaving() const;
  void RemoveRow() const;

  UpstreamOutcome RunCall(const ActiveCall& call);
  UpstreamOutcome RunModel(const ActiveCall& call, Ms remaining);
  void OnMessage(wire::BodyUnion request, const ReplyHandle& reply);
  void OnControl(const HttpRequest& request, HttpResponder& responder);
  wire::HeartbeatT Heartbeat() const;
  std::string DumpJson() const;

  const SidecarConfig config;
  const SidecarDirectory directory;
  const std::function<void()> on_drain_requested;
  const std::string incarnation = RandomHexId();
  const Clock clock = Clock::Steady();
  Metrics metrics;
  HttpClient upstream;
  std::atomic<bool> stopping{false};
  std::atomic<bool> registered{false};
  Dispatcher dispatcher;
  std::unique_ptr<EngineKeeper> engine;
  std::unique_ptr<TaskThread> ticker;
  std::thread registration_thread;
  std::unique_ptr<HttpServer> control;
  std::unique_ptr<RpcServer> rpc;
};

absl::Status Sidecar::Impl::Listen() {
  auto rpc_started = RpcServer::Start(
      config.rpc, [this](wire::BodyUnion request, const ReplyHandle& reply) {
        OnMessage(std::move(request), reply);
      });
  if (!rpc_started.ok()) return rpc_started.status();
  rpc = *std::move(rpc_started);
  HttpServerOptions options;
  options.listen = config.control;
  options.threads = kControlThreads;
  options.max_body = kMaxControlBody;
  auto control_started = HttpServer::Start(
      options, [this](const HttpRequest& request, HttpResponder& responder) {
        OnControl(request, responder);
      });
  if (!control_started.ok()) return control_started.status();
  control = *std::move(control_started);
  return absl::OkStatus();
}

void Sidecar::Impl::Register() {
  bool warned = false;
  while (!stopping.load()) {
    const absl::StatusOr<std::vector<Epoch>> floor = directory.read_floor();
    absl::Status status = floor.status();
    if (floor.ok()) {
      dispatcher.Open(*floor);
      status = directory.write(MakeRecord(false));
    }
    if (status.ok()) {
      registered.store(true);
      kLog.Info("Registered.", {{"upstream", config.name.value},
                                {"incarnation", incarnation}});
      return;
    }
    if (!warned) {
      kLog.Warning("Can't register in the table service; retrying.",
                   {{"error", Text(status)}});
    }
    warned = true;
    SleepFor(kTableRetryDelay);
  }
}

// Afterwards no write can replace a row that is marked as leaving.
void Sidecar::Impl::StopRegistering() {
  stopping.store(true);
  if (registration_thread.joinable()) registration_thread.join();
}

SidecarRecord Sidecar::Impl::MakeRecord(bool leaving) const {
  SidecarRecord record;
  record.upstream = config.name;
  record.incarnation = incarnation;
  record.rpc = config.rpc;
  record.domain = config.domain;
  record.pool = config.pool;
  record.models = config.models;
  record.leaving = leaving;
  return record;
}

// Does not retry: every reply and refusal also says that the upstream is
// leaving, so an unavailable store must not delay the drain.
void Sidecar::Impl::MarkRowLeaving() const {
  const absl::Status status = directory.write(MakeRecord(true));
  if (status.ok()) return;
  kLog.Warning("Can't mark the sidecar's row as leaving.",
               {{"error", Text(status)}});
}

// A row that remains is harmless: entries find that nothing listens at its
// address.
void Sidecar::Impl::RemoveRow() const {
  absl::Status status;
  for (int i = 0; i < kMaxRowRemovalTries; ++i) {
    if (i > 0) SleepFor(kTableRetryDelay);
    status = directory.remove(MakeRecord(true));
    if (status.ok()) return;
  }
  kLog.Warning("Can't remove the sidecar's row.", {{"error", Text(status)}});
}

UpstreamOutcome Sidecar::Impl::RunCall(const ActiveCall& call) {
  const Ms remaining = std::max(Ms{1}, call.deadline - clock.Now());
  if (engine != nullptr && IsModelCall(call.dispatch)) {
    return RunModel(call, remaining);
  }
  if (IsModelCall(call.dispatch)) {
    UpstreamOutcome outcome;
    outcome.result = FailedResult(ErrorCode::kUnknownModel, RunState::kNotRun,
                                  Ms{0}, "this upstream serves no models");
    return outcome;
  }
  return RunServiceCall(upstream, call.dispatch, remaining);
}

UpstreamOutcome Sidecar::Impl::RunModel(const ActiveCall& call, Ms remaining) {
  const wire::DispatchT& dispatch = call.dispatch;
  const AttemptId attempt(dispatch.attempt);
  const std::string generation = engine->Generation();
  const ReplyHandle& listener = *call.stream_to;
  UpstreamOutcome outcome = RunModelCall(
      upstream, dispatch, remaining,
      [&](std::string_view text) {
        if (!dispatch.stream) return;
        wire::ChunkT chunk;
        chunk.data = text;
        listener.Send(Wrap(std::move(chunk)));
      },
      call.cancelled);
  if (outcome.needs_cancel) engine->Cancel(attempt);
  const bool sent =
      outcome.connection_lost &&
      outcome.result.failure->run != static_cast<uint8_t>(RunState::kNotRun);
  if (outcome.connection_lost && engine->FailedSince(generation) && sent) {
    outcome.result.crashed = true;
    outcome.result.failure->message = "the engine died during the call";
    dispatcher.RecordCrash(dispatch.digest);
  }
  if (outcome.result.failure == nullptr && dispatch.pin_ms > 0) {
    engine->Hold(HoldName(ProgramHash(dispatch.workspace, dispatch.program)),
                 attempt, Ms{dispatch.pin_ms});
  }
  return outcome;
}

void Sidecar::Impl::OnMessage(wire::BodyUnion request,
                              const ReplyHandle& reply) {
  if (wire::DispatchT* dispatch = request.AsDispatch()) {
    return dispatcher.Submit(std::move(*dispatch), reply);
  }
  if (const wire::AttemptQueryT* query = request.AsAttemptQuery()) {
    reply.Send(dispatcher.Query(*query));
    return;
  }
  if (request.AsHeartbeat() != nullptr) {
    reply.Send(Wrap(Heartbeat()));
    return;
  }
  if (const wire::CancelT* cancel = request.AsCancel()) {
    dispatcher.Cancel(AttemptId(cancel->attempt));
  } else if (const wire::FenceT* fence = request.AsFence()) {
    dispatcher.Fence(PartitionId{fence->partition}, Epoch{fence->epoch});
  } else if (const wire::PinRenewalT* renewal = request.AsPinRenewal()) {
    if (engine != nullptr) engine->Renew(*renewal);
  } else if (const wire::CrashReportT* report = request.AsCrashReport()) {
    dispatcher.ReportCrash(*report);
  } else {
    reply.Send(Wrap(UnsupportedMessage()));
    return;
  }
  reply.Send(Wrap(wire::AckT{}));
}

wire::HeartbeatT Sidecar::Impl::Heartbeat() const {
  wire::HeartbeatT heartbeat;
  heartbeat.member = config.name.value;
  heartbeat.incarnation = incarnation;
  heartbeat.load = std::make_unique<wire::LoadT>(dispatcher.Load());
  return heartbeat;
}

void Sidecar::Impl::OnControl(const HttpRequest& request,
                              HttpResponder& responder) {
  const std::vector<HttpHeader> json = {{"Content-Type", "application/json"}};
  const bool get = request.method == "GET";
  if (get && request.path == "/state") {
    responder.Send({200, json, DumpJson()});
  } else if (get && request.path == "/metrics") {
    responder.Send({200, json, metrics.ToJson()});
  } else if (get && request.path == "/healthz") {
    const bool ready = registered.load() && !dispatcher.draining();
    responder.Send({ready ? 200 : 503, json,
                    ready ? R"({"ready":true})" : R"({"ready":false})"});
  } else if (request.method == "POST" && request.path == "/drain") {
    kLog.Info("An operator requested a drain.");
    if (on_drain_requested) on_drain_requested();
    responder.Send({202, json, R"({"draining":true})"});
  } else {
    responder.Send({404, json, R"({"error":"no such path"})"});
  }
}

std::string Sidecar::Impl::DumpJson() const {
  nlohmann::json state = dispatcher.ToJson();
  state["upstream"] = config.name.value;
  state["failure_domain"] = config.domain.value;
  state["pool"] = config.pool;
  state["models"] = config.models;
  state["incarnation"] = incarnation;
  state["registered"] = registered.load();
  state["engine"] =
      engine == nullptr ? nlohmann::json(nullptr) : engine->ToJson();
  return state.dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<std::unique_ptr<Sidecar>> Sidecar::Start(
    SidecarConfig config, SidecarDirectory directory,
    std::function<void()> on_drain_requested) {
  auto impl = std::make_unique<Impl>(std::move(config), std::move(directory),
                                     std::move(on_drain_requested));
  const absl::Status listening = impl->Listen();
  if (!listening.ok()) return listening;
  Impl* raw = impl.get();
  impl->ticker = std::make_unique<TaskThread>(
      kTickInterval, [raw] { raw->dispatcher.Tick(); });
  impl->registration_thread = std::thread([raw] { raw->Register(); });
  return std::unique_ptr<Sidecar>(new Sidecar(std::move(impl)));
}

Sidecar::Sidecar(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Sidecar::~Sidecar() {
  impl_->StopRegistering();
  impl_->dispatcher.Stop();
  impl_->control.reset();
  impl_->rpc.reset();
  impl_->ticker.reset();
  impl_->engine.reset();
}

absl::Status Sidecar::Drain() {
  impl_->dispatcher.BeginDrain();
  impl_->StopRegistering();
  impl_->MarkRowLeaving();
  absl::Status status;
  if (!impl_->dispatcher.WaitIdle(impl_->config.drain_limit)) {
    kLog.Warning("Calls were still running at the drain limit.");
    status = absl::DeadlineExceededError(
        "calls were still running at the drain limit");
  }
  if (impl_->engine != nullptr) impl_->engine->ReleaseAll();
  impl_->RemoveRow();
  kLog.Info("Drained.", {{"upstream", impl_->config.name.value}});
  return status;
}

bool Sidecar::ready() const { return impl_->registered.load(); }

std::string Sidecar::DumpJson() const { return impl_->DumpJson(); }

}  // namespace knapweed
