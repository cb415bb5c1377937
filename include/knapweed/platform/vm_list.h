#ifndef KNAPWEED_PLATFORM_VM_LIST_H_
#define KNAPWEED_PLATFORM_VM_LIST_H_

#include <functional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "knapweed/base/settings.h"

namespace knapweed {

/// An entry of the platform's list of VMs, which is updated with a delay.
struct VmEntry {
  std::string name;
  std::string address;
  /// The platform is removing the VM.
  bool leaving = false;
};

/// The platform's list of VMs as a function, so that tests can replace it by a
/// fake. Errors: Unavailable or DeadlineExceeded if it can't be read.
struct VmList {
  std::function<absl::StatusOr<std::vector<VmEntry>>()> read;
};

/// Returns a client of the list's HTTP interface:
/// GET /vms -> {"vms":[{"name","address","leaving"}]}. `read` is thread-safe
/// and blocks for up to `timeout` per HTTP request.
VmList ConnectVmList(const Address& server, Ms timeout);

}  // namespace knapweed

#endif  // KNAPWEED_PLATFORM_VM_LIST_H_
