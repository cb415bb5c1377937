#ifndef KNAPWEED_ENTRY_ENTRY_CONFIG_H_
#define KNAPWEED_ENTRY_ENTRY_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "knapweed/base/ids.h"
#include "knapweed/base/log.h"
#include "knapweed/base/settings.h"

namespace knapweed {

/// Settings of one entry process.
struct EntryConfig {
  MemberId name;
  FailureDomain domain;
  /// Address that callers connect to, through the platform's load balancer.
  Address listen;
  /// Address that other entries and sidecars connect to.
  Address rpc;
  /// Address of the operators' interface: state, metrics, drain.
  Address control;
  int caller_threads = 64;
  /// Limit on calls forwarded by other entries that run concurrently.
  int forwarded_threads = 64;
  size_t max_body_bytes = 4 << 20;
  /// The platform's table service and object store.
  Address table;
  Address objects;
  Ms platform_timeout = Seconds(2);
  /// Membership lease of this process, and how often it is renewed.
  Ms lease = Seconds(5);
  Ms renew_every = Ms{1500};
  uint32_t partition_count = 64;
  /// Deadline of a call whose caller sets none.
  Ms default_deadline = Seconds(120);
  Ms max_deadline = Seconds(900);
  /// Longest wait of a call until its workspace's rate limit admits it.
  Ms rate_wait = Seconds(5);
  /// How often the configuration is read, and for how long a read confirms it.
  Ms config_poll = Ms{1000};
  Ms config_confirm = Seconds(4);
  /// How long the load balancer takes to notice a failing health check.
  Ms balancer_delay = Seconds(2);
  /// How long a graceful shutdown waits for running calls.
  Ms drain_limit = Seconds(120);
  LogLevel log_level = LogLevel::kInfo;
};

/// Reads and validates a settings file. InvalidArgument lists every error with
/// its line.
absl::StatusOr<EntryConfig> LoadEntryConfig(const std::string& path);
/// Validates settings that were already parsed.
absl::StatusOr<EntryConfig> ReadEntryConfig(Settings settings);

}  // namespace knapweed

#endif  // KNAPWEED_ENTRY_ENTRY_CONFIG_H_
