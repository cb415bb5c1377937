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

/// The platform's object store as functions. Objects are written whole; a name
/// is written once by convention, so that writing it again after a lost answer
/// changes nothing. Errors: InvalidArgument for a bad name; NotFound;
/// Unavailable when nothing was applied; Unknown and DeadlineExceeded
/// otherwise.
struct ObjectStore {
  std::function<absl::Status(std::string_view name, std::string_view bytes)>
      put;
  std::function<absl::StatusOr<std::string>(std::string_view name)> get;
  std::function<absl::Status(std::string_view name)> remove;
  std::function<absl::StatusOr<std::vector<std::string>>(
      std::string_view prefix)>
      list;
};

/// Whether a name can stand in a path: segments between single slashes, none of
/// them empty, "." or "..", without control characters and backslashes.
bool IsObjectName(std::string_view name);

/// A client of the object store's HTTP interface: PUT, GET and DELETE
/// /objects/NAME, and GET /objects?prefix=P -> {"names":[...]}.
ObjectStore ConnectObjectStore(const Address& server, Ms timeout);

}  // namespace knapweed

#endif  // KNAPWEED_PLATFORM_OBJECT_STORE_H_
