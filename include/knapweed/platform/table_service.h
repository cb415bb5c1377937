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

/// A row's version rises by one with each write; the first write makes
/// version 1. Keys and values are UTF-8 text.
struct Row {
  std::string key;
  std::string value;
  uint64_t version = 0;
};

/// Holds when the row is at this version; 0 means that there is no such row.
struct RowCondition {
  std::string key;
  uint64_t version = 0;
};

/// Writes a row, or deletes it when there is no value.
struct RowWrite {
  std::string key;
  std::optional<std::string> value;
};

/// All writes happen together, and only if every condition holds.
struct Transaction {
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;
};

/// The platform's transactional table service as functions, so that tests put a
/// fake in its place.
///
/// Errors: NotFound; InvalidArgument for text that is not UTF-8; Aborted when a
/// condition did not hold; Unavailable when nothing was applied; Unknown and
/// DeadlineExceeded when a commit may or may not have been applied. A read
/// fails as Unavailable or DeadlineExceeded.
struct TableService {
  std::function<absl::StatusOr<Row>(std::string_view key)> get;
  /// All rows whose key starts with the prefix, in key order.
  std::function<absl::StatusOr<std::vector<Row>>(std::string_view prefix)> scan;
  std::function<absl::Status(const Transaction&)> commit;
};

/// A client of the table service's HTTP interface:
///   GET  /table/row?key=K           -> {"key","value","version"} or 404
///   GET  /table/rows?prefix=P       -> {"rows":[...]}
///   POST /table/commit
///   {"conditions":[{"key","version"}],"writes":[{"key","value"|null}]}
///        -> 200, 409 when a condition failed, 503 when nothing was applied
TableService ConnectTableService(const Address& server, Ms timeout);

}  // namespace knapweed

#endif  // KNAPWEED_PLATFORM_TABLE_SERVICE_H_
