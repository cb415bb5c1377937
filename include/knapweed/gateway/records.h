#ifndef KNAPWEED_GATEWAY_RECORDS_H_
#define KNAPWEED_GATEWAY_RECORDS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "knapweed/base/clock.h"

/// Rows of the platform's store and the calls on them, as plain values.
namespace knapweed::gateway {

/// Rows of one table and part lie together: a commit stays within one part.
struct RowKey {
  std::string table;
  std::string part;
  std::string key;
  auto operator<=>(const RowKey&) const = default;
};

struct Row {
  RowKey key;
  std::string value;
  /// Rises with each commit to the store; 0 stands for a row that is absent.
  uint64_t version = 0;
  bool deleted = false;
};

/// A row must have this version, 0 for absent, or nothing is written.
struct RowCondition {
  RowKey key;
  uint64_t version = 0;
};

struct RowWrite {
  RowKey key;
  std::string value;
};

/// Applied whole or not at all. Every commit of a gateway has a condition on
/// each row that it writes, so that sending it again is safe.
struct Commit {
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;
  std::vector<RowKey> removals;
};

/// How a call to the store ended.
enum class StoreOutcome : uint8_t {
  kDone,
  /// A condition failed; the rows of the conditions came back.
  kConflict,
  /// Nothing was done: the store or the way to it is away.
  kNotDone,
  /// Nothing was done: too many calls at once.
  kBusy,
  /// No answer: it may have been done, or may be done later.
  kUnknown,
  /// The history that a feed asked for is gone; read the table again.
  kHistoryLost,
  /// The store calls the request wrong: a fault of ours.
  kRejected,
};

/// The answer of the store. `rows` holds what was read, or the conditions' rows
/// after a conflict.
struct StoreAnswer {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  std::vector<Row> rows;
  bool more = false;
  uint64_t version = 0;
  /// The store's steady clock.
  Ms store_now;
};

/// Keys from `from` up to and without `to`; an empty bound is open.
struct RowRange {
  std::string table;
  std::string part;
  std::string from;
  std::string to;
  uint32_t limit = 500;
};

/// Changes of a table after a version.
struct FeedRequest {
  std::string table;
  uint64_t after = 0;
  Ms wait;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_RECORDS_H_
