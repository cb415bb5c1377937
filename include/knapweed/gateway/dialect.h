#ifndef KNAPWEED_GATEWAY_DIALECT_H_
#define KNAPWEED_GATEWAY_DIALECT_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "knapweed/gateway/call.h"
#include "knapweed/gateway/fleet_config.h"
#include "knapweed/gateway/net.h"
#include "knapweed/gateway/records.h"
#include "knapweed/gateway/upstreams.h"

/// What a platform's protocol has to translate for the gateway. All of these
/// are pure functions: no state, no decision, no retry.
namespace knapweed::gateway {

struct Dialect {
  // Callers.
  CallHead (*decode_call)(const http::fields& fields);
  /// Names the attempt in an answer that the gateway makes itself.
  void (*encode_gateway_response)(const CallHead& call, http::fields& fields);
  /// Path, within the address for readiness, that tells whether to send calls
  /// here.
  std::string_view ready_path;

  // Upstreams.
  /// Removes what callers may not set and what concerns only the gateway, and
  /// writes `head` beside the rest.
  void (*encode_dispatch)(const DispatchHead& head, http::fields& fields);
  ResponseHead (*decode_response)(const http::response_header<>& header);

  // The store.
  HttpRequest (*encode_commit)(const Commit& commit);
  HttpRequest (*encode_range)(const RowRange& range);
  HttpRequest (*encode_feed)(const FeedRequest& feed);
  StoreAnswer (*decode_store_answer)(unsigned status, std::string_view body);

  // What the platform keeps in the store.
  /// Row that holds the configuration.
  RowKey config_row;
  /// Table that lists the upstreams, a row under each one's name.
  std::string_view upstream_table;
  absl::StatusOr<FleetConfig> (*decode_config)(std::string_view bytes);
  absl::StatusOr<UpstreamEntry> (*decode_upstream)(std::string_view id,
                                                   std::string_view bytes);
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_DIALECT_H_
