#ifndef KNAPWEED_PLATFORM_OBJECT_STORE_H_
#define KNAPWEED_PLATFORM_OBJECT_STORE_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "knapweed/base/settings.h"

namespace knapweed {

/// The platform's object store as functions, so that tests can replace it by a
/// fake. `put` writes a complete object. By convention a name is always written
/// with the same content, so that a `put` whose reply was lost can be repeated.
///
/// Errors: InvalidArgument for an invalid name; NotFound; Unavailable when
/// nothing was applied; Unknown and DeadlineExceeded when a change may or may
/// not have been applied. A read fails as Unavailable or DeadlineExceeded.
struct ObjectStore {
  std::function<absl::Status(std::string_view name, std::string_view bytes)>
      put;
  std::function<absl::StatusOr<std::string>(std::string_view name)> get;
  std::function<absl::Status(std::string_view name)> remove;
  std::function<absl::StatusOr<std::vector<std::string>>(
      std::string_view prefix)>
      list;
};

/// Returns whether `name` is valid in a URL path: segments separated by single
/// slashes, none of them empty, "." or "..", without control characters or
/// backslashes.
bool IsObjectName(std::string_view name);

/// Returns a client of the object store's HTTP interface: PUT, GET and DELETE
/// /objects/NAME, and GET /objects?prefix=P -> {"names":[...]}. Its functions
/// are thread-safe and block for up to `timeout` per HTTP request.
ObjectStore ConnectObjectStore(const Address& server, Ms timeout);

}  // namespace knapweed

#endif  // KNAPWEED_PLATFORM_OBJECT_STORE_H_
