#ifndef KNAPWEED_GATEWAY_SWEPT_TABLE_H_
#define KNAPWEED_GATEWAY_SWEPT_TABLE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "knapweed/base/clock.h"

/// Describes a table to `RowSweeper`.
namespace knapweed::gateway {

/// A table of rows that gateways write, and remove after they expire.
struct SweptTable {
  std::string table;
  /// Each part is named by this prefix and a number below `parts`.
  std::string part_prefix;
  uint64_t parts = 0;
  /// Returns when a row with this value expires, on the store's clock; nullopt
  /// when the value cannot be decoded. `retention` is how long rows without an
  /// expiry time of their own are kept after their last write.
  std::optional<Ms> (*expires_at)(std::string_view value, Ms retention);
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_SWEPT_TABLE_H_
