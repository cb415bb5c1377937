// The process of a gateway: its settings file, its signals and its end.
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <string>

#include "knapweed/base/log.h"
#include "knapweed/gateway/gateway.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("gateway");

Task<void> ShutdownAndStopLoop(asio::io_context& loop, Gateway& gateway) {
  co_await gateway.Shutdown();
  loop.stop();
}

/// Logs the figures of the settings that can't be used.
void LogUnused(const UsableSettings& usable) {
  for (const std::string& fault : usable.unused_figures) {
    kLog.Error(
        "A figure of the settings can't be used; the one in force stays.",
        {{"error", fault}});
  }
}

/// Reads the settings file again. Only the log level, the quota tolerance and
/// the grace period can change at run time; addresses and names can't.
void ReloadSettings(Gateway& gateway, const std::string& path) {
  const absl::StatusOr<UsableSettings> usable =
      ReadUsableSettings(path, gateway.config());
  if (!usable.ok()) {
    kLog.Error("Keeping the settings: the new ones are invalid.",
               {{"error", usable.status().ToString()}});
    return;
  }
  LogUnused(*usable);
  gateway.Reload(usable->config);
  kLog.Info("Settings reloaded.", {{"path", path}});
}

Task<void> ReloadOnHangup(Gateway& gateway, asio::signal_set& hangup,
                          std::string path) {
  while (true) {
    NetErrorCode ec;
    co_await hangup.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    if (ec) co_return;
    ReloadSettings(gateway, path);
  }
}

/// The loop of a process, and the signals that it handles. From its
/// construction on they wait for their handlers in place of ending the process.
struct SignalledLoop {
  SignalledLoop() { std::signal(SIGPIPE, SIG_IGN); }
  asio::io_context loop{1};
  asio::signal_set stop{loop, SIGTERM, SIGINT};
  asio::signal_set hangup{loop, SIGHUP};
};

int CheckSettings(const std::string& path) {
  const absl::StatusOr<GatewayConfig> config = ReadGatewayConfig(path);
  if (config.ok()) return kExitOk;
  std::cerr << config.status().message() << "\n";
  return kExitBadConfig;
}

int RunGatewayOn(SignalledLoop& process, const GatewayConfig& config,
                 const std::string& path, const Dialect& dialect) {
  asio::io_context& loop = process.loop;
  Gateway gateway(loop, config, dialect);
  process.stop.async_wait([&](const NetErrorCode& ec, int) {
    if (ec) return;
    // The file may have changed without a signal.
    ReloadSettings(gateway, path);
    Spawn(loop, ShutdownAndStopLoop(loop, gateway));
  });
  SpawnForever(loop, "reloading settings",
               [&] { return ReloadOnHangup(gateway, process.hangup, path); });
  if (!gateway.Start()) return kExitFailed;
  // What escapes a completion handler ends `run`, which can be called again.
  while (!loop.stopped()) RunStep("the loop", [&] { loop.run(); });
  FlushLog();
  return kExitOk;
}

}  // namespace

int RunGateway(const GatewayConfig& config, const std::string& path,
               const Dialect& dialect) {
  SignalledLoop process;
  return RunGatewayOn(process, config, path, dialect);
}

int GatewayMain(int argc, const char** argv, const Dialect& dialect) {
  const DaemonArgs args =
      ParseDaemonArgs(argc, argv, "serves callers over the platform's store");
  if (args.exit_now) return args.exit_code;
  SignalledLoop process;
  if (args.check_only) return CheckSettings(args.config_path);
  const absl::StatusOr<UsableSettings> usable =
      ReadUsableSettings(args.config_path, GatewayConfig{});
  if (!usable.ok()) {
    std::cerr << usable.status().message() << "\n";
    return kExitBadConfig;
  }
  StartStructuredLog(usable->config.log_level);
  LogUnused(*usable);
  return RunGatewayOn(process, usable->config, args.config_path, dialect);
}

}  // namespace knapweed::gateway
