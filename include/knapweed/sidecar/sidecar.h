#ifndef KNAPWEED_SIDECAR_SIDECAR_H_
#define KNAPWEED_SIDECAR_SIDECAR_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "knapweed/membership/membership.h"
#include "knapweed/sidecar/sidecar_config.h"

namespace knapweed {

/// The operations of the platform's table service that a sidecar uses; tests
/// replace them. Each blocks.
struct SidecarDirectory {
  /// Writes the sidecar's row.
  std::function<absl::Status(const SidecarRecord& record)> write;
  /// Removes the sidecar's row.
  std::function<absl::Status(const SidecarRecord& record)> remove;
  /// Reads the current epoch of every partition.
  std::function<absl::StatusOr<std::vector<Epoch>>()> read_floor;
};

/// Returns the directory kept in the platform's table service.
SidecarDirectory ConnectDirectory(const SidecarConfig& config);

/// Proxies all calls to one upstream. Queues calls, refuses those from former
/// owners of a partition, passes each attempt on at most once, keeps caches
/// pinned under leases, and can drain without interrupting calls. Owned by the
/// main function of knapweed-sidecar.
class Sidecar {
 public:
  /// Starts listening. Dispatches are refused as not run until the epochs of
  /// all partitions have been read from the directory. `on_drain_requested` is
  /// called when an operator requests a drain over the control address.
  static absl::StatusOr<std::unique_ptr<Sidecar>> Start(
      SidecarConfig config, SidecarDirectory directory,
      std::function<void()> on_drain_requested);
  /// Stops without a drain. Cancels running model calls and waits for running
  /// calls to end.
  ~Sidecar();
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  /// Refuses new calls, marks the sidecar's row as leaving, waits for queued
  /// and running calls up to `drain_limit`, releases all holds and removes the
  /// row. Blocks. DeadlineExceeded if calls were still running at the limit.
  absl::Status Drain();
  /// Whether the epochs have been read and the sidecar has registered.
  bool ready() const;
  /// Returns the state that the control address serves.
  std::string DumpJson() const;

 private:
  struct Impl;
  explicit Sidecar(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweed

#endif  // KNAPWEED_SIDECAR_SIDECAR_H_
