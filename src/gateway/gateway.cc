#include "knapweed/gateway/gateway.h"

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>

#include "knapweed/base/ids.h"
#include "knapweed/base/log.h"
#include "knapweed/base/resource_use.h"
#include "knapweed/gateway/fleet_watch.h"
#include "knapweed/gateway/front.h"
#include "knapweed/gateway/internal_server.h"
#include "knapweed/gateway/row_sweeper.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("gateway");

/// Time that the load balancer needs to detect the failed readiness check; new
/// connections are accepted until then.
constexpr Ms kDrainNoticeTime{3000};
/// Path on the metrics address that returns the gateway's state as JSON.
constexpr std::string_view kStatePath = "/state";
/// Part of the grace period that is reserved for the last responses and budget
/// settlements.
constexpr Ms kShutdownMargin{700};
/// Time that the process needs to exit, also within the grace period.
constexpr Ms kExitTime{100};
/// Longest time for which the end waits until the store knows of it.
constexpr Ms kMaxStopNotice{300};
constexpr Ms kMaintenanceInterval{250};
/// Maintenance goes on after this time, whatever the store keeps waiting.
constexpr Ms kMaxFlushTime{5000};

Task<bool> ReadRows(Store& store, RowRange range, std::vector<Row>* rows) {
  uint64_t version = 0;
  const bool ok = co_await store.ReadAll(std::move(range), rows, &version);
  co_return ok;
}

Task<StoreAnswer> ApplyCommit(Store& store, Commit commit) {
  StoreAnswer answer = co_await store.Apply(commit);
  co_return answer;
}

/// `store` must outlive the result.
RecordStore RecordStoreOf(Store& store) {
  RecordStore records;
  records.read = [&store](RowRange range, std::vector<Row>* rows) {
    return ReadRows(store, std::move(range), rows);
  };
  records.write = [&store](Commit commit) {
    return ApplyCommit(store, std::move(commit));
  };
  records.reachable = [&store] { return store.reachable(); };
  records.now = [&store] { return store.StoreNow(); };
  return records;
}

/// `store` must outlive the result.
ProbeStore ProbeStoreOf(Store& store) {
  return {
      [&store](Commit commit) { return ApplyCommit(store, std::move(commit)); },
      [&store] { return store.reachable(); },
      [&store] { return store.StoreNow(); }};
}

}  // namespace

/// The components of one gateway, each after those that it depends on.
struct Gateway::Parts {
  Parts(asio::io_context& l, const GatewayConfig& c, const Dialect& d)
      : loop(l),
        config(c),
        dialect(d),
        store(l, clock, d, c.store, metrics),
        incarnation(c.name + "-" + RandomHexId().substr(0, 8)),
        rows(store, clock, incarnation),
        clients(l, clock),
        quotas(clock, c.quota, RateBound::kPermits),
        use_exchange(l, clock, quotas, c.peers, clients.Sender(),
                     [this] { return store.reachable(); }),
        starts(clock, clients, quotas, c.peers,
               [this](std::string_view name) { return FindWorkspace(name); }),
        permits(l, clock, metrics, c.quota, c.peers, c.name, clients.Sender(),
                [this](std::string_view name) { return FindWorkspace(name); }),
        budgets(l, clock, store, rows, clients, incarnation, c.peers),
        memory(c.memory_mb, metrics),
        turns(l, clock, store, memory, c.row_bytes),
        send_limits(l, clock, view.upstreams, metrics, c.peers,
                    clients.Sender()),
        stream_records(l, clock, RecordStoreOf(store), c.name),
        stream_versions(l, clock, view.upstreams, stream_records, c.peers,
                        clients.Sender()),
        pool(l, clock, metrics, memory.socket_buffer_bytes()),
        crashes(l),
        probes(clock, ProbeStoreOf(store)),
        runner(CallRunnerDeps{l,
                              clock,
                              d,
                              view,
                              store,
                              quotas,
                              starts,
                              permits,
                              budgets,
                              turns,
                              send_limits,
                              stream_versions,
                              pool,
                              crashes,
                              probes,
                              memory,
                              metrics,
                              c.failure_domain,
                              c.admit_programs,
                              c.order_by_slack}),
        front(l, clock, d, view, memory, runner),
        watch(FleetWatchDeps{l, clock, d, store, view, quotas, permits,
                             use_exchange, starts, budgets, send_limits,
                             stream_versions, crashes},
              GatewayEntry{c.name, c.peers}, c.seeds),
        sweeper(l, store, view,
                {BudgetTable(), TurnTable(), StreamTable(), ProbeTable()}) {
    view.upstreams.SetPlacement(c.placement);
  }

  /// Returns the rows for a gateway that starts; 503 if this one is not ready
  /// or sends as many snapshots as it may.
  HttpResponse SnapshotForPeer();
  /// Handles a request from another gateway.
  /// Returns a workspace of the configuration in force; null if there is none.
  const Workspace* FindWorkspace(std::string_view name) const {
    return view.config == nullptr ? nullptr
                                  : FindWorkspaceByName(*view.config, name);
  }
  Task<HttpResponse> AnswerPeer(HttpRequest call);
  void UpdateResourceGauges();
  /// Runs the components' periodic work until the loop stops.
  Task<void> RunMaintenance();

  Clock clock = Clock::Steady();
  asio::io_context& loop;
  GatewayConfig config;
  const Dialect& dialect;
  Metrics metrics;
  FleetView view;
  Store store;
  /// Identifies this run of the process in shared rows.
  std::string incarnation;
  SharedRows rows;
  PeerClients clients;
  Quotas quotas;
  UseExchange use_exchange;
  ProgramStarts starts;
  Permits permits;
  Budgets budgets;
  HeldMemory memory;
  Turns turns;
  SendLimits send_limits;
  StreamRecords stream_records;
  StreamVersions stream_versions;
  ConnectionPool pool;
  CrashWatch crashes;
  CrashProbes probes;
  CallRunner runner;
  Front front;
  FleetWatch watch;
  RowSweeper sweeper;
  /// Shared by the snapshots that are being sent.
  std::shared_ptr<const bool> snapshot_slot = std::make_shared<bool>();
  bool shutting_down = false;
};

HttpResponse Gateway::Parts::SnapshotForPeer() {
  HttpResponse answer;
  answer.status = 503;
  if (!watch.ready() || snapshot_slot.use_count() > kMaxSnapshotsAtOnce) {
    return answer;
  }
  answer.status = 200;
  answer.body = EncodeKnownRows(watch.RowsForPeers());
  answer.held = snapshot_slot;
  metrics.GetCounter("snapshots_sent_total").Add();
  return answer;
}

Task<HttpResponse> Gateway::Parts::AnswerPeer(HttpRequest call) {
  HttpResponse answer;
  if (call.target == kKnownRowsPath) {
    answer = SnapshotForPeer();
  } else if (call.target == kStartPath) {
    answer = starts.AnswerPeer(call);
  } else if (call.target == kPermitPath) {
    answer = permits.AnswerPeer(call);
  } else if (call.target == kUsePath) {
    answer = use_exchange.AnswerPeer(call);
  } else if (call.target == kGrantPath) {
    answer = co_await send_limits.AnswerPeer(call);
  } else if (call.target == kStreamBegunPath ||
             call.target == kStreamOriginPath) {
    answer = stream_versions.AnswerPeer(call);
  } else if (call.target.starts_with(kBudgetPrefix)) {
    answer = co_await budgets.AnswerPeer(call);
  } else if (call.target.starts_with(kRelayPrefix)) {
    call.target.erase(0, kRelayPrefix.size());
    answer = co_await store.RunForPeer(call);
    // 503 if the request was not sent and so did not run; 504 if it may have
    // run.
    if (answer.status == 0) answer.status = answer.not_sent ? 503 : 504;
  } else {
    answer.status = 404;
  }
  co_return answer;
}

void Gateway::Parts::UpdateResourceGauges() {
  const ResourceUse use = ReadResourceUse();
  metrics.GetGauge("process_processor_ms").Set(use.processor.count);
  metrics.GetGauge("process_resident_kb").Set(use.resident_kb);
  metrics.GetGauge("process_peak_resident_kb").Set(use.peak_resident_kb);
  memory.UpdateGauges();
  if (memory.is_bounded()) {
    metrics.GetGauge("turn_copies_bytes")
        .Set(static_cast<int64_t>(turns.copies_bytes()));
    metrics.GetGauge("turn_copies_peak_bytes")
        .Set(static_cast<int64_t>(turns.copies_peak_bytes()));
  }
  metrics.GetGauge("exceptions_reported")
      .Set(static_cast<int64_t>(ExceptionsReported()));
}

Task<void> Gateway::Parts::RunMaintenance() {
  constexpr int kRoundsPerReport = 40;
  for (int round = 1;; ++round) {
    co_await Sleep(loop, kMaintenanceInterval);
    if (round % kRoundsPerReport == 0) {
      UpdateResourceGauges();
      kLog.Info("Counters.", {{"metrics", metrics.ToJson()}});
    }
    co_await budgets.Flush(false, clock.Now() + kMaxFlushTime);
    co_await turns.RemoveExpired();
    pool.CloseIdle();
    permits.RemoveOld();
    if (watch.ready()) stream_versions.Update();
    FlushLog();
  }
}

Gateway::Gateway(asio::io_context& loop, const GatewayConfig& config,
                 const Dialect& dialect)
    : parts_(std::make_unique<Parts>(loop, config, dialect)) {}

Gateway::~Gateway() = default;

bool Gateway::IsReady() const {
  return parts_->watch.ready() && !parts_->shutting_down &&
         parts_->store.reachable();
}

std::string Gateway::StateJson() const {
  const Parts& parts = *parts_;
  const Ms now = parts.clock.Now();
  nlohmann::json upstreams = nlohmann::json::object();
  for (const auto& [id, up] : parts.view.upstreams.all()) {
    upstreams[id] = {{"service", up->entry.service},
                     {"version", up->entry.version},
                     {"address", up->entry.address.ToString()},
                     {"draining", up->entry.draining || up->said_draining},
                     {"evacuated", up->evacuated},
                     {"cold_ms", std::max(up->cold.until - now, Ms{0}).count},
                     {"cold_per_s", up->cold.per_s},
                     {"limit_per_s", up->limit.per_s.has_value()
                                         ? nlohmann::json(*up->limit.per_s)
                                         : nlohmann::json()},
                     {"sent_under_limit", up->sent_under_limit},
                     {"in_flight", up->own.calls},
                     {"failures", up->breaker.failures},
                     {"avoided", up->avoid_until > now}};
  }
  const nlohmann::json state = {
      {"name", parts.config.name},
      {"ready", IsReady()},
      {"leaving", parts.shutting_down},
      {"calls_under_way", parts.runner.under_way()},
      {"connections", parts.front.connections()},
      {"config_version",
       parts.view.config != nullptr ? parts.view.config->version : 0},
      {"config_age_ms", (now - parts.view.config_confirmed_at).count},
      {"evacuated", parts.view.upstreams.evacuated()},
      {"store_reachable", parts.store.reachable()},
      {"store_direct", parts.store.direct_ok()},
      {"upstreams", std::move(upstreams)}};
  return state.dump(1);
}

const Metrics& Gateway::metrics() const { return parts_->metrics; }

void Gateway::Reload(const GatewayConfig& config) {
  parts_->quotas.SetTolerance(config.quota);
  parts_->permits.SetTolerance(config.quota);
  SetLogLevel(config.log_level);
  parts_->config.quota = config.quota;
  parts_->config.grace = config.grace;
  parts_->config.log_level = config.log_level;
  LogFigures();
}

void Gateway::LogFigures() const {
  const GatewayConfig& config = parts_->config;
  kLog.Info("Figures in force.",
            {{"grace_ms", config.grace.count},
             {"quota_window_ms", config.quota.window.count},
             {"quota_over_share", std::to_string(config.quota.over_share)},
             {"quota_slack_calls", std::to_string(config.quota.slack_calls)},
             {"row_bytes", config.row_bytes},
             {"memory_mb", config.memory_mb}});
}

const GatewayConfig& Gateway::config() const { return parts_->config; }

bool Gateway::Start() {
  Parts& parts = *parts_;
  const GatewayConfig& config = parts.config;
  const bool readiness =
      ServeInternal(parts.loop, config.readiness,
                    [this](const HttpRequest& call) -> Task<HttpResponse> {
                      HttpResponse answer;
                      answer.status = 404;
                      if (call.target == parts_->dialect.ready_path) {
                        answer.status = IsReady() ? 200 : 503;
                      }
                      co_return answer;
                    });
  const bool peers =
      ServeInternal(parts.loop, config.peers,
                    [this](const HttpRequest& call) -> Task<HttpResponse> {
                      // Moved, since a snapshot is large.
                      HttpResponse answer = co_await parts_->AnswerPeer(call);
                      co_return answer;
                    });
  const bool metrics = ServeInternal(
      parts.loop, config.metrics,
      [this](const HttpRequest& call) -> Task<HttpResponse> {
        HttpResponse answer;
        answer.status = 200;
        parts_->UpdateResourceGauges();
        answer.body = call.target == kStatePath
                          ? StateJson()
                          : parts_->metrics.ToPrometheus("knapweed_");
        co_return answer;
      });
  const bool callers = parts.front.Listen(config.callers);
  if (!readiness || !peers || !metrics || !callers) return false;
  kLog.Info("Started.", {{"name", config.name},
                         {"callers", config.callers.ToString()},
                         {"version", kVersionText}});
  LogFigures();
  parts.store.Start();
  parts.watch.Start();
  SpawnForever(parts.loop, "exchanging use",
               [&parts] { return parts.use_exchange.Run(); });
  SpawnForever(parts.loop, "sweeping rows",
               [&parts] { return parts.sweeper.Run(); });
  SpawnForever(parts.loop, "recording streams",
               [&parts] { return parts.stream_records.Run(); });
  SpawnForever(parts.loop, "maintenance",
               [&parts] { return parts.RunMaintenance(); });
  return true;
}

Task<void> Gateway::AnnounceStop(Ms deadline) {
  const auto done = std::make_shared<bool>(false);
  const auto announce = [](FleetWatch& watch,
                           std::shared_ptr<bool> ended) -> Task<void> {
    co_await watch.AnnounceStop();
    *ended = true;
  };
  Spawn(parts_->loop, announce(parts_->watch, done));
  constexpr Ms kPollInterval{10};
  while (!*done && parts_->clock.Now() < deadline) {
    co_await Sleep(parts_->loop, kPollInterval);
  }
}

Task<void> Gateway::Shutdown() {
  Parts& parts = *parts_;
  const Ms started_at = parts.clock.Now();
  const Ms killed_at = started_at + parts.config.grace;
  const Ms stop_at = killed_at - kShutdownMargin;
  parts.shutting_down = true;
  parts.front.BeginDraining();
  parts.runner.EndAt(stop_at);
  parts.send_limits.StopGranting();
  parts.budgets.BeginHandover();
  kLog.Info("Stopping.", {{"under_way", parts.runner.under_way()}});
  constexpr Ms kPollInterval{50};
  const Ms stops_accepting_at =
      std::min(started_at + kDrainNoticeTime, stop_at);
  while (parts.clock.Now() < stops_accepting_at) {
    co_await Sleep(parts.loop, kPollInterval);
  }
  // New connections are now refused, so that callers try another gateway.
  parts.front.StopAccepting();
  while (parts.clock.Now() < stop_at &&
         (parts.front.connections() > 0 || parts.budgets.HasUnsettled())) {
    parts.front.CloseIdle();
    co_await Sleep(parts.loop, kPollInterval);
  }
  co_await parts.budgets.Flush(true, killed_at - kExitTime);
  co_await AnnounceStop(
      std::min(parts.clock.Now() + kMaxStopNotice, killed_at - kExitTime));
  parts.runner.ReportCut();
  kLog.Info("Stopped.", {{"under_way", parts.runner.under_way()},
                         {"connections", parts.front.connections()}});
}

}  // namespace knapweed::gateway
