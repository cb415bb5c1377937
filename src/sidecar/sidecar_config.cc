#include "knapweed/sidecar/sidecar_config.h"

#include "knapweed/base/daemon_args.h"

namespace knapweed {
namespace {

constexpr int64_t kMaxSlots = 512;
constexpr int64_t kMaxQueued = 100000;
constexpr int64_t kMaxPartitions = 65536;
constexpr int64_t kMaxAttempts = 10000000;
constexpr int64_t kMaxResultBytes = 1 << 30;
/// No caller retries for longer than this, so that no record is dropped while
/// its caller still retries.
constexpr Ms kMinAttemptRetention = Seconds(60);

void ReadAttempts(Settings& settings, AttemptMemoryOptions* attempts) {
  attempts->retention = settings.GetMs("attempts", "keep", attempts->retention);
  if (attempts->retention < kMinAttemptRetention) {
    settings.AddFault("attempts", "keep", "is too short; expected 60s or more");
  }
  attempts->max_ended = static_cast<size_t>(settings.GetInt(
      "attempts", "results", static_cast<int64_t>(attempts->max_ended), 1,
      kMaxAttempts));
  attempts->max_result_bytes = static_cast<size_t>(settings.GetInt(
      "attempts", "result_bytes",
      static_cast<int64_t>(attempts->max_result_bytes), 0, kMaxResultBytes));
  attempts->max_dropped_ids = static_cast<size_t>(settings.GetInt(
      "attempts", "ids", static_cast<int64_t>(attempts->max_dropped_ids), 0,
      kMaxAttempts));
}

}  // namespace

absl::StatusOr<SidecarConfig> LoadSidecarConfig(const std::string& path) {
  Settings settings = Settings::Load(path);
  return ReadSidecarConfig(settings);
}

absl::StatusOr<SidecarConfig> ReadSidecarConfig(Settings& settings) {
  SidecarConfig config;
  config.name = UpstreamId(settings.GetString("sidecar", "name"));
  config.domain =
      FailureDomain(settings.GetString("sidecar", "failure_domain"));
  config.pool = settings.GetString("sidecar", "pool");
  config.models = settings.GetList("sidecar", "models", "");
  config.rpc = settings.GetAddress("sidecar", "rpc");
  config.control = settings.GetAddress("sidecar", "control");
  config.slots = static_cast<int>(
      settings.GetInt("sidecar", "slots", config.slots, 1, kMaxSlots));
  config.max_queued = static_cast<size_t>(
      settings.GetInt("sidecar", "max_queued",
                      static_cast<int64_t>(config.max_queued), 1, kMaxQueued));
  config.drain_limit =
      settings.GetMs("sidecar", "drain_limit", config.drain_limit);
  config.found_pin_lease =
      settings.GetMs("sidecar", "found_pin_lease", config.found_pin_lease);
  config.upstream = settings.GetAddress("upstream", "address");
  config.table = settings.GetAddress("platform", "table");
  config.platform_timeout =
      settings.GetMs("platform", "timeout", config.platform_timeout);
  config.partition_count = static_cast<uint32_t>(
      settings.GetInt("membership", "partition_count", config.partition_count,
                      1, kMaxPartitions));
  ReadAttempts(settings, &config.attempts);
  config.log_level = ReadLogLevel(settings);
  if (config.rpc.port != 0 && config.rpc == config.control) {
    settings.AddFault("sidecar", "control", "is the same address as 'rpc'");
  }
  const absl::Status checked = settings.Check();
  if (!checked.ok()) return checked;
  return config;
}

}  // namespace knapweed
