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

/// What a sidecar needs of the platform's table service, as functions.
struct SidecarDirectory {
  std::function<absl::Status(const SidecarRecord& record)> write;
  std::function<absl::Status(const SidecarRecord& record)> remove;
  std::function<absl::StatusOr<std::vector<Epoch>>()> read_floor;
};

/// The directory that stands in the platform's table service.
SidecarDirectory ConnectDirectory(const SidecarConfig& config);

/// The process beside one upstream, and the only way in to it. It queues calls,
/// refuses those of owners that lost their partition, passes each attempt on at
/// most once, keeps caches pinned under leases, and leaves without cutting a
/// call off.
class Sidecar {
 public:
  /// Listens at once; dispatches are refused as not run until the epochs of all
  /// partitions were read from the directory. `on_drain_asked` is called when
  /// an operator asks for a planned stop over the control address.
  static absl::StatusOr<std::unique_ptr<Sidecar>> Start(
      SidecarConfig config, SidecarDirectory directory,
      std::function<void()> on_drain_requested);
  /// Stops at once; calls that run are waited for.
  ~Sidecar();
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  /// A planned stop: takes no new work, tells so, ends what is queued and runs,
  /// and takes back the row. Blocks until done or the drain limit.
  absl::Status Drain();
  /// Whether dispatches are taken.
  bool ready() const;
  std::string DumpJson() const;

 private:
  struct Impl;
  explicit Sidecar(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweed

#endif  // KNAPWEED_SIDECAR_SIDECAR_H_
