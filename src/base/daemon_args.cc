#include "knapweed/base/daemon_args.h"

#include <popt.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace knapweed {
namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

DaemonArgs ExitNow(int code) {
  DaemonArgs args;
  args.exit_now = true;
  args.exit_code = code;
  return args;
}

}  // namespace

DaemonArgs ParseDaemonArgs(int argc, const char** argv, const char* summary) {
  char* config = nullptr;
  int check = 0;
  int version = 0;
  int help = 0;
  const poptOption options[] = {
      {"config", 'c', POPT_ARG_STRING, &config, 0, "settings file (INI)",
       "FILE"},
      {"check-config", 0, POPT_ARG_NONE, &check, 0,
       "check the settings and exit", nullptr},
      {"version", 0, POPT_ARG_NONE, &version, 0, "print the version", nullptr},
      {"help", 'h', POPT_ARG_NONE, &help, 0, "print this help", nullptr},
      POPT_TABLEEND};
  poptContext context = poptGetContext(nullptr, argc, argv, options, 0);
  const int ec = poptGetNextOpt(context);
  const char* extra = poptPeekArg(context);
  DaemonArgs args;
  if (ec < -1) {
    std::fprintf(stderr, "%s: %s\n",
                 poptBadOption(context, POPT_BADOPTION_NOALIAS),
                 poptStrerror(ec));
    args = ExitNow(kExitUsage);
  } else if (help != 0) {
    std::printf("%s\n", summary);
    poptPrintHelp(context, stdout, 0);
    args = ExitNow(kExitOk);
  } else if (version != 0) {
    std::printf("knapweedrun %s\n", kVersionText);
    args = ExitNow(kExitOk);
  } else if (extra != nullptr || config == nullptr) {
    std::fprintf(stderr, "%s\n",
                 extra != nullptr ? "Unexpected argument; see --help."
                                  : "--config FILE is required; see --help.");
    args = ExitNow(kExitUsage);
  } else {
    args.config_path = config;
    args.check_only = check != 0;
  }
  poptFreeContext(context);
  std::free(config);
  return args;
}

LogLevel ReadLogLevel(Settings& settings) {
  struct Level {
    std::string_view name;
    LogLevel level;
  };
  static constexpr Level kLevels[] = {{"debug", LogLevel::kDebug},
                                      {"info", LogLevel::kInfo},
                                      {"warning", LogLevel::kWarning},
                                      {"error", LogLevel::kError}};
  const std::string text = settings.GetString("log", "level", "info");
  for (const Level& it : kLevels) {
    if (text == it.name) return it.level;
  }
  settings.AddFault(
      "log", "level",
      "is '" + text + "'; expected debug, info, warning or error");
  return LogLevel::kInfo;
}

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void WaitForStopSignal() {
  const sigset_t signals = StopSignals();
  int signal_number = 0;
  sigwait(&signals, &signal_number);
}

}  // namespace knapweed
