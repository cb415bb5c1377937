#include "knapweed/entry/entry_config.h"

#include <utility>

#include "knapweed/base/daemon_args.h"

namespace knapweed {
namespace {

constexpr int64_t kMaxThreads = 4096;
constexpr int64_t kMaxPartitions = 65536;
constexpr int64_t kMinBodyBytes = 1024;
constexpr int64_t kMaxBodyBytes = 16 << 20;

void ReadAddresses(Settings& settings, EntryConfig& config) {
  config.name = MemberId(settings.GetString("entry", "name"));
  config.domain = FailureDomain(settings.GetString("entry", "failure_domain"));
  config.listen = settings.GetAddress("entry", "listen");
  config.rpc = settings.GetAddress("entry", "rpc");
  config.control = settings.GetAddress("entry", "control");
  config.table = settings.GetAddress("platform", "table");
  config.objects = settings.GetAddress("platform", "objects");
  config.platform_timeout =
      settings.GetMs("platform", "timeout", config.platform_timeout);
}

void ReadLimits(Settings& settings, EntryConfig& config) {
  config.caller_threads = static_cast<int>(settings.GetInt(
      "entry", "threads", config.caller_threads, 1, kMaxThreads));
  config.forwarded_threads = static_cast<int>(settings.GetInt(
      "entry", "forwarded_threads", config.forwarded_threads, 1, kMaxThreads));
  config.max_body_bytes = static_cast<size_t>(settings.GetInt(
      "entry", "max_body_bytes", static_cast<int64_t>(config.max_body_bytes),
      kMinBodyBytes, kMaxBodyBytes));
  config.default_deadline =
      settings.GetMs("entry", "default_deadline", config.default_deadline);
  config.max_deadline =
      settings.GetMs("entry", "max_deadline", config.max_deadline);
  config.rate_wait = settings.GetMs("entry", "rate_wait", config.rate_wait);
  config.balancer_delay =
      settings.GetMs("entry", "balancer_delay", config.balancer_delay);
  config.drain_limit =
      settings.GetMs("entry", "drain_limit", config.drain_limit);
}

}  // namespace

absl::StatusOr<EntryConfig> LoadEntryConfig(const std::string& path) {
  return ReadEntryConfig(Settings::Load(path));
}

absl::StatusOr<EntryConfig> ReadEntryConfig(Settings settings) {
  EntryConfig config;
  ReadAddresses(settings, config);
  ReadLimits(settings, config);
  config.lease = settings.GetMs("membership", "lease", config.lease);
  config.renew_every =
      settings.GetMs("membership", "renew_every", config.renew_every);
  config.partition_count = static_cast<uint32_t>(
      settings.GetInt("membership", "partition_count", config.partition_count,
                      1, kMaxPartitions));
  config.config_poll =
      settings.GetMs("rules", "poll_every", config.config_poll);
  config.config_confirm =
      settings.GetMs("rules", "confirm_within", config.config_confirm);
  config.log_level = ReadLogLevel(settings);
  if (config.renew_every * 2 > config.lease) {
    settings.AddFault("membership", "renew_every",
                      "must be at most half of the lease, so that one lost "
                      "renewal does not end it");
  }
  const absl::Status status = settings.Check();
  if (!status.ok()) return status;
  return config;
}

}  // namespace knapweed
