#ifndef KNAPWEED_GATEWAY_SHARED_ROW_H_
#define KNAPWEED_GATEWAY_SHARED_ROW_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "knapweed/gateway/store.h"

/// Rows of the store that several gateways update, each write conditional on
/// the version that was read. Each writer leaves a mark in the row (its name
/// and a sequence number), by which a writer whose answer was lost recognizes
/// whether its change was made.
namespace knapweed::gateway {

/// A change that was sent to the store and whose outcome is not known.
struct UnknownChange {
  uint64_t sequence = 0;
  Commit commit;
  /// The row's content if the change was made.
  nlohmann::json state;
  nlohmann::json marks;
};

/// A row as last read or written by this process.
struct CachedRow {
  /// The row's content without the marks; null when the row is absent.
  nlohmann::json state;
  nlohmann::json marks = nlohmann::json::array();
  uint64_t version = 0;
  /// When the store last confirmed this state, on the local clock.
  Ms confirmed_at;
  bool confirmed = false;
  /// The last change, while it is not known whether it was or will be made. The
  /// fields above tell the state before it.
  std::optional<UnknownChange> unknown;
};

/// Changes a state in place. Returns false to leave the row unchanged when the
/// change is not possible in this state.
using RowChange = std::function<bool(nlohmann::json& state)>;

enum class UpdateOutcome : uint8_t {
  kChanged,
  /// `RowChange` returned false on a state that the store confirmed.
  kDeclined,
  /// The row was not changed: the store was unreachable or rejected the write,
  /// or the deadline passed.
  kNotDone,
  /// The change may have been made, or may still be made later.
  kUnknown,
};

/// What became of a change whose outcome was not known.
enum class ChangeFate : uint8_t {
  kMade,
  /// It was not made, and never will be.
  kNotMade,
  kUnknown,
};

/// Updates shared rows under one writer name. At most one update may be in
/// progress on a `CachedRow`.
class SharedRows {
 public:
  /// `writer` is unique to this process.
  SharedRows(Store& store, const Clock& clock, std::string writer)
      : store_(store), clock_(clock), writer_(std::move(writer)) {}

  /// Applies `change` to the row and writes it, again after each conflict,
  /// until the write succeeds, `change` returns false or `deadline` passes.
  /// `row` is brought up to date. When `change` returns false on a state that
  /// was confirmed less than `fresh` ago, the row is not read again. Does
  /// nothing while `row` has an unknown change.
  Task<UpdateOutcome> Update(const RowKey& key, CachedRow& row,
                             const RowChange& change, Ms deadline,
                             Ms fresh = Ms{0});
  /// Finds out what became of the row's unknown change, by sending it once
  /// more: only one of the two can be made. Brings `row` up to date unless the
  /// fate stays unknown. A change counts as not made if its mark has been
  /// evicted meanwhile.
  Task<ChangeFate> Resolve(const RowKey& key, CachedRow& row);

 private:
  Task<StoreOutcome> Refresh(const RowKey& key, CachedRow& row);
  void LoadAnswer(const StoreAnswer& answer, const RowKey& key, CachedRow& row);
  bool HasMark(const CachedRow& row, uint64_t sequence) const;
  /// Sets a row to what was written.
  void SetMade(nlohmann::json state, nlohmann::json marks, uint64_t version,
               CachedRow& row);

  Store& store_;
  const Clock& clock_;
  std::string writer_;
  uint64_t sequence_ = 0;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_SHARED_ROW_H_
