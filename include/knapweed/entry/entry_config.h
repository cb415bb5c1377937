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

/// The settings of one entry process.
struct EntryConfig {
  MemberId name;
  FailureDomain domain;
  /// Where callers connect, by way of the platform's balancer.
  Address listen;
  /// Where the system's other processes connect.
  Address rpc;
  /// Where operators read state and metrics.
  Address control;
  int caller_threads = 64;
  /// Calls that other entries forwarded here and that run at once.
  int forwarded_threads = 64;
  size_t max_body_bytes = 4 << 20;
  Address table;
  Address objects;
  Ms platform_timeout = Seconds(2);
  Ms lease = Seconds(5);
  Ms renew_every = Ms{1500};
  uint32_t partition_count = 64;
  /// Deadline of a call whose caller names none.
  Ms default_deadline = Seconds(120);
  Ms max_deadline = Seconds(900);
  /// How long a call within its workspace's rate may wait for it.
  Ms rate_wait = Seconds(5);
  Ms config_poll = Ms{1000};
  Ms config_confirm = Seconds(4);
  /// How long the balancer takes to see a failing health check.
  Ms balancer_delay = Seconds(2);
  /// How long a planned stop waits for running calls.
  Ms drain_limit = Seconds(120);
  LogLevel log_level = LogLevel::kInfo;
};

/// Reads and checks the whole file. InvalidArgument names every fault with its
/// line.
absl::StatusOr<EntryConfig> LoadEntryConfig(const std::string& path);
/// The same over settings that were read already.
absl::StatusOr<EntryConfig> ReadEntryConfig(Settings settings);

}  // namespace knapweed

#endif  // KNAPWEED_ENTRY_ENTRY_CONFIG_H_
