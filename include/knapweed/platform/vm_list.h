#ifndef KNAPWEED_PLATFORM_VM_LIST_H_
#define KNAPWEED_PLATFORM_VM_LIST_H_

#include <functional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "knapweed/base/settings.h"

namespace knapweed {

/// One line of the platform's VM list, which lags behind the truth.
struct VmEntry {
  std::string name;
  std::string address;
  bool leaving = false;
};

struct VmList {
  std::function<absl::StatusOr<std::vector<VmEntry>>()> read;
};

/// GET /vms -> {"vms":[{"name","address","leaving"}]}
VmList ConnectVmList(const Address& server, Ms timeout);

}  // namespace knapweed

#endif  // KNAPWEED_PLATFORM_VM_LIST_H_
