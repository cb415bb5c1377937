#include "knapweed/entry/entry.h"

#include <signal.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "knapweed/base/log.h"
#include "knapweed/base/parse.h"
#include "knapweed/entry/call_router.h"
#include "knapweed/entry/caller_front.h"
#include "knapweed/entry/crash_board.h"
#include "knapweed/entry/peer_service.h"
#include "knapweed/entry/periodic_task.h"
#include "knapweed/entry/rate_gate.h"
#include "knapweed/entry/store_contact.h"
#include "knapweed/entry/turn_runner.h"
#include "knapweed/entry/upstream_directory.h"
#include "knapweed/http/server.h"
#include "knapweed/membership/membership.h"
#include "knapweed/platform/object_store.h"
#include "knapweed/platform/table_service.h"
#include "knapweed/program/program_table.h"
#include "knapweed/rules/rules_holder.h"
#include "knapweed/rules/rules_watcher.h"

namespace knapweed {
namespace {

constexpr Logger kLog("entry");
constexpr Ms kDrainPollInterval = Ms{50};
// Pauses between the runs of the periodic tasks.
constexpr Ms kSidecarUpdateInterval = Ms{500};
constexpr Ms kStoreContactInterval = Ms{1000};
constexpr Ms kRateStepInterval = Ms{500};
constexpr Ms kCrashReportInterval = Ms{200};
constexpr int kControlThreads = 4;

using Json = nlohmann::json;

ProgramTableOptions ProgramOptionsOf(const EntryConfig& config) {
  ProgramTableOptions options;
  options.partition_count = config.partition_count;
  options.record_timeout = config.platform_timeout;
  return options;
}

MembershipOptions MembershipOptionsOf(const EntryConfig& config,
                                      const std::string& incarnation,
                                      ProgramTable& programs) {
  MembershipOptions options;
  options.self.id = config.name;
  options.self.incarnation = incarnation;
  options.self.rpc = config.rpc;
  options.self.domain = config.domain;
  options.lease = config.lease;
  options.renew_every = config.renew_every;
  options.partition_count = config.partition_count;
  options.busy = [&programs](PartitionId partition) {
    return programs.Busy(partition);
  };
  options.on_rejoin = [&programs](const std::string& next) {
    return programs.Restart(next);
  };
  return options;
}

}  // namespace

// Members are constructed in this order and destroyed in reverse, so that the
// tasks and servers stop before the parts that they use.
struct Entry::Impl {
  explicit Impl(EntryConfig c);

  absl::Status Start();
  absl::Status StartServers();
  void HandleControl(const HttpRequest& request, HttpResponder& responder);
  void ClearQuarantine(const HttpRequest& request, HttpResponder& responder);
  std::string DumpJson() const;
  bool Idle() const;

  const EntryConfig config;
  const std::string incarnation = config.name.value + "-" + RandomHexId();
  const Clock clock = Clock::Steady();
  Metrics metrics;
  TableService table;
  ObjectStore objects;
  RulesHolder rules;
  RulesWatcher watcher;
  RpcPool rpc;
  UpstreamDirectory upstreams;
  ProgramTable programs;
  Membership membership;
  StoreContact store_contact;
  CrashBoard crashes;
  TurnRunner runner;
  RateGate rates;
  CallRouter router;
  CallerFront front;
  PeerService peers;
  std::unique_ptr<RpcServer> rpc_server;
  std::unique_ptr<HttpServer> control_server;
  std::unique_ptr<HttpServer> caller_server;
  PeriodicTask sidecar_task{kSidecarUpdateInterval, [this] {
                              upstreams.Update(membership.Sidecars());
                            }};
  PeriodicTask rate_task{kRateStepInterval, [this] { rates.Step(); }};
  PeriodicTask crash_task{kCrashReportInterval, [this] { crashes.Step(); }};
  PeriodicTask contact_task{kStoreContactInterval,
                            [this] { store_contact.Step(); }};
};

Entry::Impl::Impl(EntryConfig c)
    : config(std::move(c)),
      table(ConnectTableService(config.table, config.platform_timeout)),
      objects(ConnectObjectStore(config.objects, config.platform_timeout)),
      watcher(table, objects, rules, clock,
              RulesWatcherOptions{config.config_poll, config.config_confirm}),
      upstreams(clock, config.domain),
      programs(table, objects, clock, incarnation, ProgramOptionsOf(config)),
      membership(
          table, clock, MembershipOptionsOf(config, incarnation, programs),
          [this](PartitionId partition, Epoch epoch,
                 const std::string& old_owner) {
            rates.OnGain(partition);
            return programs.AcquirePartition(partition, epoch, old_owner);
          },
          [this](PartitionId partition) {
            return programs.ReleasePartition(partition);
          }),
      store_contact(StoreContactParts{clock, rules, watcher, membership, rpc,
                                      config.name}),
      crashes(membership, rpc, config.name),
      runner(TurnRunnerParts{clock, rules, membership, programs, upstreams,
                             crashes, store_contact, rpc, metrics,
                             config.partition_count}),
      rates(RateGateParts{clock, rules, membership, store_contact, rpc,
                          config.name, config.domain, config.lease,
                          config.partition_count}),
      router(CallRouterParts{clock, membership, runner, store_contact, rpc,
                             metrics, config.partition_count}),
      front(CallerFrontParts{config, clock, rules, watcher, rates, router,
                             metrics}),
      peers(PeerServiceParts{runner, rates, upstreams, crashes, rules, watcher,
                             membership, config.forwarded_threads}) {}

absl::Status Entry::Impl::Start() {
  const absl::Status refreshed = watcher.Refresh();
  if (!refreshed.ok()) {
    kLog.Warning("Could not read the configuration at start.",
                 {{"error", std::string{refreshed.message()}}});
  }
  absl::Status status = programs.Start();
  if (!status.ok()) return status;
  status = StartServers();
  if (!status.ok()) return status;
  status = membership.Start();
  if (!status.ok()) return status;
  sidecar_task.Start();
  contact_task.Start();
  crash_task.Start();
  rate_task.Start();
  kLog.Info("Serving.", {{"listen", config.listen.ToString()},
                         {"rpc", config.rpc.ToString()},
                         {"incarnation", incarnation},
                         {"failure_domain", config.domain.value}});
  return absl::OkStatus();
}

absl::Status Entry::Impl::StartServers() {
  auto peer_server = RpcServer::Start(
      config.rpc, [this](wire::BodyUnion request, const ReplyHandle& reply) {
        peers.Handle(std::move(request), reply);
      });
  if (!peer_server.ok()) return peer_server.status();
  rpc_server = std::move(*peer_server);
  HttpServerOptions options;
  options.listen = config.control;
  options.threads = kControlThreads;
  auto control = HttpServer::Start(
      options, [this](const HttpRequest& request, HttpResponder& responder) {
        HandleControl(request, responder);
      });
  if (!control.ok()) return control.status();
  control_server = std::move(*control);
  options.listen = config.listen;
  options.threads = config.caller_threads;
  options.max_body = config.max_body_bytes;
  auto callers = HttpServer::Start(
      options, [this](const HttpRequest& request, HttpResponder& responder) {
        front.Handle(request, responder);
      });
  if (!callers.ok()) return callers.status();
  caller_server = std::move(*callers);
  return absl::OkStatus();
}

void Entry::Impl::HandleControl(const HttpRequest& request,
                                HttpResponder& responder) {
  const std::vector<HttpHeader> json = {{"Content-Type", "application/json"}};
  if (request.path == "/state") {
    responder.Send({200, json, DumpJson()});
  } else if (request.path == "/metrics") {
    responder.Send({200, json, metrics.ToJson()});
  } else if (request.path == "/healthz") {
    responder.Send({200, {}, "ok\n"});
  } else if (request.path == "/drain" && request.method == "POST") {
    // The main thread waits for signals, so a drain request sends one.
    kill(getpid(), SIGTERM);
    responder.Send({202, json, R"({"draining":true})"});
  } else if (request.path == "/quarantine/clear" && request.method == "POST") {
    ClearQuarantine(request, responder);
  } else {
    responder.Send(
        {404, json,
         R"({"error":"GET /state, /metrics, /healthz, POST /drain or /quarantine/clear"})"});
  }
}

// Handles POST /quarantine/clear?digest=N, with N as printed in the state dump.
void Entry::Impl::ClearQuarantine(const HttpRequest& request,
                                  HttpResponder& responder) {
  const std::vector<HttpHeader> json = {{"Content-Type", "application/json"}};
  const std::string text = QueryParam(request.query, "digest");
  uint64_t digest = 0;
  if (!ParseNumber(text, &digest)) {
    responder.Send({400, json, R"({"error":"digest=N is needed"})"});
    return;
  }
  crashes.Clear(digest);
  responder.Send({200, json, R"({"cleared":true})"});
}

std::string Entry::Impl::DumpJson() const {
  const Json dump = {
      {"role", "entry"},
      {"name", config.name.value},
      {"incarnation", incarnation},
      {"failure_domain", config.domain.value},
      {"config_version", rules.version()},
      {"config_confirmed", watcher.Confirmed()},
      {"lease_holds", membership.LeaseHolds()},
      {"in_flight", front.in_flight()},
      {"forwarded_in_flight", peers.in_flight()},
      {"membership", Json::parse(membership.DumpJson(), nullptr, false)},
      {"quarantine", Json::parse(crashes.DumpJson(), nullptr, false)},
      {"buckets", Json::parse(rates.DumpJson(), nullptr, false)},
      {"programs", Json::parse(programs.DumpJson(), nullptr, false)},
      {"upstreams", Json::parse(upstreams.DumpJson(), nullptr, false)},
  };
  return dump.dump(2, ' ', false, Json::error_handler_t::replace);
}

bool Entry::Impl::Idle() const {
  return front.in_flight() == 0 && peers.in_flight() == 0;
}

absl::StatusOr<std::unique_ptr<Entry>> Entry::Start(EntryConfig config) {
  auto impl = std::make_unique<Impl>(std::move(config));
  const absl::Status status = impl->Start();
  if (!status.ok()) return status;
  return std::unique_ptr<Entry>(new Entry(std::move(impl)));
}

Entry::Entry(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Entry::~Entry() = default;

void Entry::Stop() {
  Impl& impl = *impl_;
  kLog.Info("Leaving.");
  impl.front.SetLeaving();
  SleepFor(impl.config.balancer_delay);
  const Ms drain_deadline = impl.clock.Now() + impl.config.drain_limit;
  const absl::Status left = impl.membership.Leave(impl.config.drain_limit);
  if (!left.ok()) {
    kLog.Warning("Could not hand over all partitions.",
                 {{"error", std::string{left.message()}}});
  }
  while (!impl.Idle() && impl.clock.Now() < drain_deadline)
    SleepFor(kDrainPollInterval);
  impl.caller_server.reset();
  kLog.Info("Left.", {{"requests_cut_off", impl.front.in_flight()}});
}

std::string Entry::DumpJson() const { return impl_->DumpJson(); }

}  // namespace knapweed
