#include "knapweed/gateway/gateway.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <memory>

#include "knapweed/base/ids.h"
#include "knapweed/base/log.h"
#include "knapweed/gateway/fleet_watch.h"
#include "knapweed/gateway/front.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("gateway");

/// The balancer needs this long to notice that no new connections are wanted;
/// until then they are still served.
constexpr Ms kLeaveNoticed{3000};
/// Left of the grace period for the last answers and settlements.
constexpr Ms kStopMargin{700};
constexpr Ms kUpkeepEvery{250};

/// All parts of one gateway, in the order in which they depend on each other.
struct Gateway {
  Gateway(asio::io_context& l, const GatewayConfig& c, const Dialect& d)
      : loop(l),
        config(c),
        dialect(d),
        store(l, clock, d, c.store, metrics),
        incarnation(c.name + "-" + RandomHexId().substr(0, 8)),
        rows(store, clock, incarnation),
        quotas(l, clock, store, rows, c.quota),
        budgets(l, clock, store, rows, incarnation),
        turns(clock, store, c.row_bytes),
        pool(l, clock),
        runner(CallParts{l, clock, d, view, quotas, budgets, turns, pool,
                         metrics, c.failure_domain}),
        front(l, clock, d, view, runner),
        watch(l, clock, d, store, view, quotas, GatewayEntry{c.name, c.peers},
              c.seeds) {}

  Clock clock = Clock::Steady();
  asio::io_context& loop;
  const GatewayConfig& config;
  const Dialect& dialect;
  Metrics metrics;
  FleetView view;
  Store store;
  /// Names this run of the process in shared rows.
  std::string incarnation;
  SharedRows rows;
  Quotas quotas;
  Budgets budgets;
  Turns turns;
  ConnectionPool pool;
  CallRunner runner;
  Front front;
  FleetWatch watch;
  bool leaving = false;
};

bool IsReady(const Gateway& gateway) {
  return gateway.watch.ready() && !gateway.leaving && gateway.store.reachable();
}

HttpAnswer AnswerReadiness(const Gateway& gateway, const HttpCall& call) {
  HttpAnswer answer;
  answer.status = 404;
  if (call.target == gateway.dialect.ready_path) {
    answer.status = IsReady(gateway) ? 200 : 503;
  }
  return answer;
}

Task<HttpAnswer> AnswerPeer(Gateway& gateway, const HttpCall& call) {
  HttpAnswer answer;
  if (!call.target.starts_with(kRelayPrefix)) {
    answer.status = 404;
    co_return answer;
  }
  HttpCall inner = call;
  inner.target.erase(0, kRelayPrefix.size());
  answer = co_await gateway.store.RunForPeer(inner);
  // Not sent means not done; no answer means that nobody knows.
  if (answer.status == 0) answer.status = answer.not_sent ? 503 : 504;
  co_return answer;
}

Task<void> Upkeep(Gateway& gateway) {
  constexpr int kReportEvery = 40;
  for (int round = 1;; ++round) {
    co_await Sleep(gateway.loop, kUpkeepEvery);
    if (round % kReportEvery == 0) {
      kLog.Info("Counters.", {{"metrics", gateway.metrics.ToJson()}});
    }
    co_await gateway.budgets.Flush(false);
    co_await gateway.turns.RemoveExpired();
    gateway.pool.CloseIdle();
  }
}

Task<void> Leave(Gateway& gateway) {
  const Ms begun = gateway.clock.Now();
  const Ms last = begun + gateway.config.grace - kStopMargin;
  gateway.leaving = true;
  gateway.front.BeginLeaving();
  kLog.Info("Stopping.", {{"under_way", gateway.runner.under_way()}});
  constexpr Ms kStep{50};
  while (gateway.clock.Now() < begun + kLeaveNoticed) {
    co_await Sleep(gateway.loop, kStep);
  }
  // Whoever still connects is refused at once and goes elsewhere.
  gateway.front.StopAccepting();
  while (gateway.clock.Now() < last && gateway.front.connections() > 0) {
    gateway.front.CloseIdle();
    co_await Sleep(gateway.loop, kStep);
  }
  co_await gateway.budgets.Flush(true);
  kLog.Info("Stopped.", {{"under_way", gateway.runner.under_way()}});
  gateway.loop.stop();
}

bool Listen(Gateway& gateway) {
  asio::io_context& loop = gateway.loop;
  const GatewayConfig& config = gateway.config;
  const bool readiness = ServeSmall(
      loop, config.readiness, [&](const HttpCall& call) -> Task<HttpAnswer> {
        co_return AnswerReadiness(gateway, call);
      });
  const bool peers = ServeSmall(
      loop, config.peers, [&](const HttpCall& call) -> Task<HttpAnswer> {
        const HttpAnswer answer = co_await AnswerPeer(gateway, call);
        co_return answer;
      });
  const bool metrics = ServeSmall(loop, config.metrics,
                                  [&](const HttpCall&) -> Task<HttpAnswer> {
                                    HttpAnswer answer;
                                    answer.status = 200;
                                    answer.body = gateway.metrics.ToJson();
                                    co_return answer;
                                  });
  return readiness && peers && metrics && gateway.front.Listen(config.callers);
}

/// Reads the settings again. Addresses and names hold for the life of the
/// process; a log level and a tolerance can change.
Task<void> ReloadOnHangup(Gateway& gateway, asio::signal_set& hangup,
                          std::string path) {
  while (true) {
    ErrorCodeOut ec;
    co_await hangup.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    if (ec) co_return;
    const absl::StatusOr<GatewayConfig> config = ReadGatewayConfig(path);
    if (!config.ok()) {
      kLog.Error("Keeping the settings: the new ones can't be read.",
                 {{"error", std::string(config.status().message())}});
      continue;
    }
    gateway.quotas.SetTolerance(config->quota);
    SetLogLevel(config->log_level);
    kLog.Info("Settings reloaded.", {{"path", path}});
  }
}

}  // namespace

int RunGateway(const GatewayConfig& config, const std::string& path,
               const Dialect& dialect) {
  std::signal(SIGPIPE, SIG_IGN);
  asio::io_context loop(1);
  Gateway gateway(loop, config, dialect);
  asio::signal_set signals(loop, SIGTERM, SIGINT);
  signals.async_wait([&](const ErrorCodeOut& ec, int) {
    if (!ec) Spawn(loop, Leave(gateway));
  });
  asio::signal_set hangup(loop, SIGHUP);
  Spawn(loop, ReloadOnHangup(gateway, hangup, path));
  if (!Listen(gateway)) return kExitFailed;
  kLog.Info("Started.", {{"name", config.name},
                         {"callers", config.callers.ToString()},
                         {"version", kVersionText}});
  gateway.store.Start();
  gateway.watch.Start();
  Spawn(loop, Upkeep(gateway));
  loop.run();
  return kExitOk;
}

int GatewayMain(int argc, const char** argv, const Dialect& dialect) {
  const DaemonArgs args =
      ParseDaemonArgs(argc, argv, "serves callers over the platform's store");
  if (args.exit_now) return args.exit_code;
  const absl::StatusOr<GatewayConfig> config =
      ReadGatewayConfig(args.config_path);
  if (!config.ok()) {
    std::cerr << config.status().message() << "\n";
    return kExitBadConfig;
  }
  if (args.check_only) return kExitOk;
  StartLog(config->log_level);
  return RunGateway(*config, args.config_path, dialect);
}

}  // namespace knapweed::gateway
