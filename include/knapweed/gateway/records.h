#ifndef KNAPWEED_GATEWAY_RECORDS_H_
#define KNAPWEED_GATEWAY_RECORDS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "knapweed/base/clock.h"

/// Rows of the platform's store, and the requests to it and their answers as
/// plain values.
namespace knapweed::gateway {

/// The key of a row. `part` names a partition of the table; a commit must stay
/// within one part.
struct RowKey {
  std::string table;
  std::string part;
  std::string key;
  auto operator<=>(const RowKey&) const = default;
};

struct Row {
  RowKey key;
  std::string value;
  /// Increases with each commit to the store; 0 means that the row is absent.
  uint64_t version = 0;
  bool deleted = false;
};

/// A precondition of a commit: the row has this version, 0 when it must be
/// absent.
struct RowCondition {
  RowKey key;
  uint64_t version = 0;
};

struct RowWrite {
  RowKey key;
  std::string value;
};

/// An atomic set of changes. Every commit of a gateway has a condition on each
/// row that it changes, so that a retry cannot apply it twice.
struct Commit {
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;
  std::vector<RowKey> removals;
};

/// How a request to the store ended.
enum class StoreOutcome : uint8_t {
  kDone,
  /// A condition failed; the answer holds the rows of the conditions.
  kConflict,
  /// Nothing was done: the store is down or unreachable.
  kNotDone,
  /// Nothing was done: the store has too many concurrent calls.
  kBusy,
  /// No answer: the request may have been executed, or may be executed later.
  kUnknown,
  /// The store no longer has the changes that a feed asks for; the whole table
  /// must be read again.
  kHistoryLost,
  /// The store rejected the request as invalid, which is a bug of the gateway.
  kRejected,
};

/// The answer of the store. `rows` holds the rows that were read or, after a
/// conflict, those of the conditions. `more` is set when the answer was cut
/// off.
struct StoreAnswer {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  std::vector<Row> rows;
  /// The answer has a list of rows, and each of them could be decoded. Without
  /// it, a row that `rows` lacks may exist.
  bool lists_rows = false;
  bool more = false;
  uint64_t version = 0;
  /// Time on the store's monotonic clock.
  Ms store_now;
};

/// A read of the keys from `from` (inclusive) to `to` (exclusive); an empty
/// bound is open.
struct RowRange {
  std::string table;
  std::string part;
  std::string from;
  std::string to;
  uint32_t limit = 500;
};

/// A request for the changes of a table after a version; waits up to `wait` for
/// the first one.
struct FeedRequest {
  std::string table;
  uint64_t after = 0;
  Ms wait;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_RECORDS_H_
