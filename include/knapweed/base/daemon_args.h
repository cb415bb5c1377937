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

/// The parsed command line, which is the same for all daemons.
struct DaemonArgs {
  std::string config_path;
  bool check_only = false;
  /// Set if the process must exit at once with `exit_code`: after --help,
  /// --version or an invalid argument.
  bool exit_now = false;
  int exit_code = kExitOk;
};

/// Parses --config FILE, --check-config, --version and --help. Prints the
/// version or the help text to standard output, and errors to standard error.
/// `summary` is the first line of the help text.
DaemonArgs ParseDaemonArgs(int argc, const char** argv, const char* summary);

/// Reads the setting [log] level: debug, info, warning or error. Returns info
/// if it is missing or invalid; an invalid value is added to the faults of
/// `settings`.
LogLevel ReadLogLevel(Settings& settings);

/// Blocks SIGTERM and SIGINT in this thread and the threads it starts, so that
/// `WaitForStopSignal` receives them, and ignores SIGPIPE in the whole process.
/// Call it before any thread is started.
void BlockStopSignals();

/// Blocks until the process receives SIGTERM or SIGINT.
void WaitForStopSignal();

}  // namespace knapweed

#endif  // KNAPWEED_BASE_DAEMON_ARGS_H_
