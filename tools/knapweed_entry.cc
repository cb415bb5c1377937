#include <cstdio>
#include <memory>
#include <string>

#include "knapweed/base/daemon_args.h"
#include "knapweed/base/log.h"
#include "knapweed/entry/entry.h"

int main(int argc, const char** argv) {
  using knapweed::Entry;
  const knapweed::DaemonArgs args =
      knapweed::ParseDaemonArgs(argc, argv,
                                "knapweed-entry: accepts callers' requests, "
                                "owns programs, routes calls.");
  if (args.exit_now) return args.exit_code;
  auto config = knapweed::LoadEntryConfig(args.config_path);
  if (!config.ok()) {
    std::fprintf(stderr, "%s\n",
                 std::string{config.status().message()}.c_str());
    return knapweed::kExitBadConfig;
  }
  if (args.check_only) return knapweed::kExitOk;
  knapweed::StartLog(config->log_level);
  knapweed::BlockStopSignals();
  auto entry = Entry::Start(*std::move(config));
  if (!entry.ok()) {
    std::fprintf(stderr, "%s\n", std::string{entry.status().message()}.c_str());
    return knapweed::kExitFailed;
  }
  knapweed::WaitForStopSignal();
  (*entry)->Stop();
  return knapweed::kExitOk;
}
