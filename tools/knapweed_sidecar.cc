#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "knapweed/base/daemon_args.h"
#include "knapweed/base/log.h"
#include "knapweed/sidecar/sidecar.h"

int main(int argc, const char** argv) {
  using knapweed::Sidecar;
  const knapweed::DaemonArgs args = knapweed::ParseDaemonArgs(
      argc, argv,
      "knapweed-sidecar: accepts and dispatches the calls of one upstream.");
  if (args.exit_now) return args.exit_code;
  auto config = knapweed::LoadSidecarConfig(args.config_path);
  if (!config.ok()) {
    const std::string errors = absl::StrCat(config.status().message());
    std::fprintf(stderr, "%s\n", errors.c_str());
    return knapweed::kExitBadConfig;
  }
  if (args.check_only) return knapweed::kExitOk;
  knapweed::StartLog(config->log_level);
  knapweed::BlockStopSignals();
  auto directory = knapweed::ConnectDirectory(*config);
  auto sidecar = Sidecar::Start(*std::move(config), std::move(directory),
                                [] { kill(getpid(), SIGTERM); });
  if (!sidecar.ok()) {
    const std::string error = absl::StrCat(sidecar.status().message());
    std::fprintf(stderr, "%s\n", error.c_str());
    return knapweed::kExitFailed;
  }
  knapweed::WaitForStopSignal();
  const bool clean = (*sidecar)->Drain().ok();
  return clean ? knapweed::kExitOk : knapweed::kExitFailed;
}
