#ifndef KNAPWEED_PLATFORM_TABLE_SERVICE_H_
#define KNAPWEED_PLATFORM_TABLE_SERVICE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "knapweed/base/settings.h"

namespace knapweed {

/// A row of the table. Its version increases by one with each write and is 1
/// after the first. Keys and values are UTF-8 text.
struct Row {
  std::string key;
  std::string value;
  uint64_t version = 0;
};

/// Holds if the row has this version; 0 if the row must be absent.
struct RowCondition {
  std::string key;
  uint64_t version = 0;
};

/// Writes a row, or deletes it if `value` is unset.
struct RowWrite {
  std::string key;
  std::optional<std::string> value;
};

/// Applies all writes atomically, and only if every condition holds.
struct Transaction {
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;
};

/// The platform's transactional table service as functions, so that tests can
/// replace it by a fake.
///
/// Errors: NotFound; InvalidArgument for text that is not UTF-8; Aborted when a
/// condition did not hold; Unavailable when nothing was applied; Unknown and
/// DeadlineExceeded when a commit may or may not have been applied. A read
/// fails as Unavailable or DeadlineExceeded.
struct TableService {
  std::function<absl::StatusOr<Row>(std::string_view key)> get;
  /// Returns all rows whose key starts with the prefix, in key order.
  std::function<absl::StatusOr<std::vector<Row>>(std::string_view prefix)> scan;
  std::function<absl::Status(const Transaction&)> commit;
};

/// Returns a client of the table service's HTTP interface, whose functions are
/// thread-safe and block for up to `timeout` per HTTP request:
///   GET  /table/row?key=K           -> {"key","value","version"} or 404
///   GET  /table/rows?prefix=P       -> {"rows":[...]}
///   POST /table/commit
///   {"conditions":[{"key","version"}],"writes":[{"key","value"|null}]}
///        -> 200, 409 when a condition failed, 503 when nothing was applied
TableService ConnectTableService(const Address& server, Ms timeout);

}  // namespace knapweed

#endif  // KNAPWEED_PLATFORM_TABLE_SERVICE_H_
