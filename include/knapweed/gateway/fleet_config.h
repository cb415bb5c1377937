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

/// The configuration that a gateway answers by: routes, services, workspaces
/// and limits on what callers send. Replaced whole by each new version; a call
/// keeps the version that it began with.
namespace knapweed::gateway {

/// One service that a route may lead to, and its share of the route's calls.
struct WeightedService {
  std::string service;
  uint32_t weight = 1;
};

/// How calls under one host and path prefix are handled.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;
  std::vector<WeightedService> services;
  /// The answer is a stream of events.
  bool streaming = false;
  /// A call may run more than once.
  bool idempotent = false;
  /// A broken stream may go on at another upstream after its last event.
  bool resumable = false;
  /// Calls bring only their new input; earlier turns are kept here.
  bool keeps_history = false;
  /// No key is needed.
  bool is_public = false;
  Ms timeout{10000};
  Ms objective{1000};
  Ms history_ttl{60000};
  /// 0 is the most urgent.
  int priority = 5;
  /// Upstreams that one call may be sent to.
  uint32_t max_attempts = 2;
};

/// What is known of the upstreams of one service as a group.
struct Service {
  std::string name;
  /// Connections that one upstream accepts from all callers together; 0 when
  /// not limited.
  uint32_t max_connections = 0;
  /// The upstreams are model engines.
  bool is_engine = false;
  /// Tokens in one event of an engine's stream.
  uint32_t tokens_per_event = 1;
  /// Tokens that one engine's cache holds.
  uint64_t cache_tokens = 0;
};

/// A customer: its name, rate and urgency.
struct Workspace {
  std::string name;
  /// Calls a second over all gateways; 0 when not limited.
  double rate_per_s = 0;
  double burst = 0;
  /// Goes before the route's priority when not negative.
  int priority = -1;
};

/// Bounds on what a caller may send.
struct CallerLimits {
  uint32_t max_header_bytes = 16384;
  uint64_t max_body_bytes = 4194304;
  Ms header_timeout{3000};
  Ms idle_timeout{15000};
};

/// One version of the configuration.
struct FleetConfig {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, Service, std::less<>> services;
  std::vector<Workspace> workspaces;
  /// Index into `workspaces` by key.
  std::map<std::string, uint32_t, std::less<>> keys;
  CallerLimits limits;
};

using ConfigPtr = std::shared_ptr<const FleetConfig>;

/// The route of this host whose prefix is the longest that begins `path`; null
/// when none does.
const Route* FindRoute(const FleetConfig& config, std::string_view host,
                       std::string_view path);

/// The workspace that holds `key`; null when none does.
const Workspace* FindWorkspace(const FleetConfig& config, std::string_view key);

/// Picks one of the route's services by weight; the same `hash` always picks
/// the same one. Empty when the route has none.
std::string_view PickService(const Route& route, uint64_t hash);

/// The rank that a call has: its workspace's where that is set, otherwise its
/// route's.
int PriorityOf(const Route& route, const Workspace* workspace);

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_FLEET_CONFIG_H_
