#ifndef KNAPWEED_BASE_DAEMON_ARGS_H_
#define KNAPWEED_BASE_DAEMON_ARGS_H_

#include <string>

#include "knapweed/base/log.h"
#include "knapweed/base/settings.h"

namespace knapweed {

inline constexpr char kVersionText[] = "0.1.0";

/// Exit codes of every daemon.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitUsage = 2;
inline constexpr int kExitBadConfig = 3;

/// The command line that all daemons share.
struct DaemonArgs {
  std::string config_path;
  bool check_only = false;
  /// Set when the process should exit at once with `exit_code`, as after
  /// --help, --version or a wrong argument.
  bool exit_now = false;
  int exit_code = kExitOk;
};

/// Reads --config FILE, --check-config, --version and --help. Prints what the
/// two last ask for, and what is wrong with the rest.
DaemonArgs ParseDaemonArgs(int argc, const char** argv, const char* summary);

/// Reads [log] level: debug, info (when it is not set), warning or error.
LogLevel ReadLogLevel(Settings& settings);

/// Blocks SIGTERM, SIGINT and SIGPIPE in this thread and those it starts, so
/// that `WaitForStopSignal` receives the first two. Call before any thread.
void BlockStopSignals();

/// Blocks until SIGTERM or SIGINT arrives.
void WaitForStopSignal();

}  // namespace knapweed

#endif  // KNAPWEED_BASE_DAEMON_ARGS_H_
