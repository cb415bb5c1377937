#ifndef KNAPWEED_GATEWAY_SWEPT_TABLE_H_
#define KNAPWEED_GATEWAY_SWEPT_TABLE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "knapweed/base/clock.h"

/// How the sweeper finds its way about a table.
namespace knapweed::gateway {

/// A table whose rows the gateways write and may remove.
struct SweptTable {
  std::string table;
  /// Parts are named by this and a number below `parts`.
  std::string part_prefix;
  uint64_t parts = 0;
  /// On the store's clock, when a row with this value may go; none when that
  /// can't be read. `retention` is how long callers may come back.
  std::optional<Ms> (*expires_at)(std::string_view value, Ms retention);
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_SWEPT_TABLE_H_
