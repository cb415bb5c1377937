#ifndef KNAPWEED_GATEWAY_DIALECT_H_
#define KNAPWEED_GATEWAY_DIALECT_H_

#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "knapweed/gateway/call.h"
#include "knapweed/gateway/fleet_config.h"
#include "knapweed/gateway/net.h"
#include "knapweed/gateway/records.h"
#include "knapweed/gateway/upstreams.h"

/// Translation between the gateway's types and a platform's protocol.
namespace knapweed::gateway {

/// Encoders, decoders and names of one platform. The functions are pure: they
/// keep no state, take no decisions and don't retry.
struct Dialect {
  // Callers.
  CallHead (*decode_call)(const http::fields& fields);
  /// Adds the request's id to a response that the gateway itself creates.
  void (*encode_gateway_response)(const CallHead& call, http::fields& fields);
  /// Path of the readiness check on the readiness address.
  std::string_view ready_path;

  // Upstreams.
  /// Removes fields that callers may not set and those meant only for the
  /// gateway, then adds the fields for `head`.
  void (*encode_dispatch)(const DispatchHead& head, http::fields& fields);
  ResponseHead (*decode_response)(const http::response_header<>& header);

  // The store.
  HttpRequest (*encode_commit)(const Commit& commit);
  HttpRequest (*encode_range)(const RowRange& range);
  HttpRequest (*encode_feed)(const FeedRequest& feed);
  StoreAnswer (*decode_store_answer)(unsigned status, std::string_view body);

  // Location and format of the platform's data in the store.
  /// Row that holds the configuration. The rows of evacuations stand in its
  /// table and part.
  RowKey config_row;
  /// Table that lists the upstreams, one row for each, keyed by its id.
  std::string_view upstream_table;
  absl::StatusOr<FleetConfig> (*decode_config)(std::string_view bytes);
  absl::StatusOr<UpstreamEntry> (*decode_upstream)(std::string_view id,
                                                   std::string_view bytes);
  /// Returns the failure domain that the row with this key evacuates, whatever
  /// its value; unset if it is not the row of an evacuation.
  std::optional<std::string> (*decode_evacuation)(std::string_view key);
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_DIALECT_H_
