#ifndef KNAPWEED_GATEWAY_SHARED_ROW_H_
#define KNAPWEED_GATEWAY_SHARED_ROW_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "knapweed/gateway/store.h"

/// A row of the store that several gateways change, each under the version that
/// it read. A mark by each writer in the row tells a writer whose answer was
/// lost whether its change was made.
namespace knapweed::gateway {

/// A row as last read or written here.
struct CachedRow {
  /// What the row says, without the marks; null when it is absent.
  nlohmann::json state;
  nlohmann::json marks = nlohmann::json::array();
  uint64_t version = 0;
  /// Last time that the store confirmed this state.
  Ms confirmed_at;
  bool confirmed = false;
};

/// Changes a state in place. False leaves the row as it is: the change is not
/// possible in this state.
using RowChange = std::function<bool(nlohmann::json& state)>;

enum class UpdateOutcome : uint8_t {
  kChanged,
  /// The change said no, on a state that the store confirmed.
  kDeclined,
  /// The store is away; nothing was changed.
  kNotDone,
  /// The change may have been made, or may still be.
  kUnknown,
};

/// Writes under one name to shared rows. One update at a time may be under way
/// on one `CachedRow`.
class SharedRows {
 public:
  /// `writer` is unique to this process.
  SharedRows(Store& store, const Clock& clock, std::string writer)
      : store_(store), clock_(clock), writer_(std::move(writer)) {}

  /// Reads, changes and writes until it succeeds, the change says no or
  /// `deadline` passes. `row` is brought up to date. A no on a state confirmed
  /// less than `fresh` ago is taken without reading again.
  Task<UpdateOutcome> Update(const RowKey& key, CachedRow& row,
                             const RowChange& change, Ms deadline,
                             Ms fresh = Ms{0});

 private:
  Task<StoreOutcome> Refresh(const RowKey& key, CachedRow& row);
  void LoadAnswer(const StoreAnswer& answer, const RowKey& key, CachedRow& row);
  bool HasMark(const CachedRow& row, uint64_t sequence) const;

  Store& store_;
  const Clock& clock_;
  std::string writer_;
  uint64_t sequence_ = 0;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_SHARED_ROW_H_
