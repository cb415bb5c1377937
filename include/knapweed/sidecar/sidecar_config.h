#ifndef KNAPWEED_SIDECAR_SIDECAR_CONFIG_H_
#define KNAPWEED_SIDECAR_SIDECAR_CONFIG_H_

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "knapweed/base/ids.h"
#include "knapweed/base/log.h"
#include "knapweed/base/settings.h"
#include "knapweed/sidecar/attempt_memory.h"

namespace knapweed {

/// The settings of a sidecar. An upstream without models is a plain service.
struct SidecarConfig {
  UpstreamId name;
  FailureDomain domain;
  std::string pool;
  std::vector<std::string> models;
  /// Where the sidecar listens for dispatches of the entries.
  Address rpc;
  /// Where the sidecar listens for operators.
  Address control;
  Address upstream;
  /// Maximum number of calls that run at the upstream concurrently.
  int slots = 8;
  size_t max_queued = 1024;
  /// How long a drain waits for calls to end.
  Ms drain_limit = Seconds(600);
  /// The lease of holds found at the engine at start, within which they must be
  /// renewed.
  Ms found_pin_lease = Seconds(30);
  /// The platform's table service.
  Address table;
  Ms platform_timeout = Seconds(2);
  uint32_t partition_count = 64;
  AttemptMemoryOptions attempts;
  LogLevel log_level = LogLevel::kInfo;
};

/// Reads a settings file and checks all of it. InvalidArgument with one line
/// per fault.
absl::StatusOr<SidecarConfig> LoadSidecarConfig(const std::string& path);
/// As above, for settings already parsed.
absl::StatusOr<SidecarConfig> ReadSidecarConfig(Settings& settings);

}  // namespace knapweed

#endif  // KNAPWEED_SIDECAR_SIDECAR_CONFIG_H_
