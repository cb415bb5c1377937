#ifndef KNAPWEED_GATEWAY_KNOWN_ROWS_H_
#define KNAPWEED_GATEWAY_KNOWN_ROWS_H_

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "knapweed/gateway/records.h"

/// Snapshot of the tables that a gateway follows, for a peer that starts while
/// the store is unreachable and could not serve any call without it.
namespace knapweed::gateway {

/// Path on a gateway's peer address that returns the snapshot.
inline constexpr std::string_view kKnownRowsPath = "/known-rows";

/// The rows that the sender last read, and the age of that information.
struct KnownRows {
  std::vector<Row> rows;
  /// The store's clock as extrapolated by the sender.
  Ms store_now;
  /// How long ago the store confirmed the configuration, and the list of
  /// gateways, to the sender.
  Ms config_age;
  Ms gateways_age;
};

/// Snapshots that a gateway sends at once. When many gateways start together
/// they ask few others, whose memory and links are small.
inline constexpr int kMaxSnapshotsAtOnce = 4;

std::string EncodeKnownRows(const KnownRows& known);
/// Returns InvalidArgument when the bytes were not made by `EncodeKnownRows`.
absl::StatusOr<KnownRows> DecodeKnownRows(std::string_view bytes);

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_KNOWN_ROWS_H_
