#ifndef KNAPWEED_GATEWAY_FLEET_CONFIG_H_
#define KNAPWEED_GATEWAY_FLEET_CONFIG_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "knapweed/base/clock.h"

/// The platform's configuration of its gateways: routes, services, workspaces
/// and limits on requests. A new version replaces the old one as a whole; a
/// call uses one version from start to end.
namespace knapweed::gateway {

/// A service of a route, and its share of the route's calls.
struct WeightedService {
  std::string service;
  uint32_t weight = 1;
};

/// Rules for calls to one host and path prefix.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;
  std::vector<WeightedService> services;
  /// Responses are streams of server-sent events.
  bool streaming = false;
  /// A call may run more than once.
  bool idempotent = false;
  /// A stream that fails may resume at another upstream after its last event.
  bool resumable = false;
  /// Calls contain only their new input; the gateway stores earlier turns and
  /// prepends them.
  bool keeps_history = false;
  /// No key is required.
  bool is_public = false;
  /// Upper bound for a call's deadline.
  Ms timeout{10000};
  Ms objective{1000};
  Ms history_ttl{60000};
  /// 0 is the most urgent.
  int priority = 5;
  /// Maximum number of attempts that may have run a call.
  uint32_t max_attempts = 2;
};

/// Settings that all upstreams of one service have in common.
struct Service {
  std::string name;
  /// Connections that one upstream accepts from all of its clients together;
  /// 0 if unlimited.
  uint32_t max_connections = 0;
  /// Requests per second that one cold upstream tolerates from all of its
  /// clients together; 0 if there is no bound.
  double cold_per_s = 0;
  /// Length of a cold start.
  Ms cold_start;
  /// The upstreams are engines that run a language model.
  bool is_engine = false;
  /// Tokens in one event of an engine's stream.
  uint32_t tokens_per_event = 1;
  /// Capacity of one engine's prompt cache, in tokens.
  uint64_t cache_tokens = 0;
  /// Calls that one engine runs at once.
  uint32_t engine_slots = 1;
};

/// A customer with its rate limit and priority.
struct Workspace {
  std::string name;
  /// Calls per second over all gateways; 0 if unlimited.
  double rate_per_s = 0;
  double burst = 0;
  /// Overrides the route's priority unless negative.
  int priority = -1;
};

/// Limits on callers' requests and connections.
struct CallerLimits {
  uint32_t max_header_bytes = 16384;
  uint64_t max_body_bytes = 4194304;
  Ms header_timeout{3000};
  Ms idle_timeout{15000};
};

/// One version of the configuration.
struct FleetConfig {
  /// Indices in `routes` by host and prefix.
  using RouteIndex =
      std::map<std::string, std::map<std::string, uint32_t, std::less<>>,
               std::less<>>;

  uint64_t version = 0;
  std::vector<Route> routes;
  /// Filled by `IndexRoutes`.
  RouteIndex route_index;
  std::map<std::string, Service, std::less<>> services;
  std::vector<Workspace> workspaces;
  /// Calls on routes that are not public need a key, also if there is no
  /// workspace or no key left.
  bool requires_keys = true;
  /// Maps a caller's key to an index in `workspaces`.
  std::map<std::string, uint32_t, std::less<>> keys;
  CallerLimits limits;
};

using ConfigPtr = std::shared_ptr<const FleetConfig>;

/// Builds the index by which `FindRoute` searches. Call it after the last
/// change of `config.routes`.
void IndexRoutes(FleetConfig& config);

/// Returns the route of `host` with the longest prefix that matches `path`;
/// null if none matches. Prefixes end with a slash. The cost grows with the
/// depth of the path, hardly with the number of routes.
const Route* FindRoute(const FleetConfig& config, std::string_view host,
                       std::string_view path);

/// Returns the workspace that `key` belongs to; null if the key is unknown.
const Workspace* FindWorkspace(const FleetConfig& config, std::string_view key);

/// Returns the workspace with this name; null if there is none.
const Workspace* FindWorkspaceByName(const FleetConfig& config,
                                     std::string_view name);

/// Picks one of the route's services by weight; the same `hash` always picks
/// the same one. Returns an empty string if the weights sum to 0.
std::string_view PickService(const Route& route, uint64_t hash);

/// Returns the services that the route names, also those of weight 0, which get
/// no new calls.
std::vector<std::string> ServicesOf(const Route& route);

/// Returns the priority of a call: the workspace's if set, otherwise the
/// route's. `workspace` may be null.
int PriorityOf(const Route& route, const Workspace* workspace);

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_FLEET_CONFIG_H_
