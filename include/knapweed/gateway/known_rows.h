#ifndef KNAPWEED_GATEWAY_KNOWN_ROWS_H_
#define KNAPWEED_GATEWAY_KNOWN_ROWS_H_

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "knapweed/gateway/records.h"

/// What a gateway last read of the tables that it follows, for a peer that
/// starts while the store is away and could serve nobody without it.
namespace knapweed::gateway {

/// Path on a gateway's peer address where it tells them.
inline constexpr std::string_view kKnownRowsPath = "/known-rows";

struct KnownRows {
  std::vector<Row> rows;
  /// The store's clock as the teller extrapolates it.
  Ms store_now;
  /// How long ago the store confirmed the configuration to the teller, and told
  /// it of the other gateways.
  Ms config_age;
  Ms gateways_age;
};

std::string EncodeKnownRows(const KnownRows& known);
/// InvalidArgument when the bytes are nothing that `EncodeKnownRows` made.
absl::StatusOr<KnownRows> DecodeKnownRows(std::string_view bytes);

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_KNOWN_ROWS_H_
