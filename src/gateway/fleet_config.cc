#include "knapweed/gateway/fleet_config.h"

#include <algorithm>

namespace knapweed::gateway {

void IndexRoutes(FleetConfig& config) {
  config.route_index.clear();
  for (uint32_t i = 0; i < config.routes.size(); ++i) {
    const Route& route = config.routes[i];
    config.route_index[route.host].emplace(route.prefix, i);
  }
}

const Route* FindRoute(const FleetConfig& config, std::string_view host,
                       std::string_view path) {
  const auto by_prefix = config.route_index.find(host);
  if (by_prefix == config.route_index.end()) return nullptr;
  size_t slash = path.rfind('/');
  while (slash != std::string_view::npos) {
    const auto it = by_prefix->second.find(path.substr(0, slash + 1));
    if (it != by_prefix->second.end()) return &config.routes[it->second];
    if (slash == 0) break;
    slash = path.rfind('/', slash - 1);
  }
  return nullptr;
}

const Workspace* FindWorkspace(const FleetConfig& config,
                               std::string_view key) {
  const auto it = config.keys.find(key);
  return it == config.keys.end() ? nullptr : &config.workspaces[it->second];
}

const Workspace* FindWorkspaceByName(const FleetConfig& config,
                                     std::string_view name) {
  const auto it =
      std::find_if(config.workspaces.begin(), config.workspaces.end(),
                   [&](const Workspace& item) { return item.name == name; });
  return it == config.workspaces.end() ? nullptr : &*it;
}

std::string_view PickService(const Route& route, uint64_t hash) {
  uint64_t total = 0;
  for (const WeightedService& it : route.services) total += it.weight;
  if (total == 0) return {};
  uint64_t at = hash % total;
  for (const WeightedService& it : route.services) {
    if (at < it.weight) return it.service;
    at -= it.weight;
  }
  return {};
}

std::vector<std::string> ServicesOf(const Route& route) {
  std::vector<std::string> services;
  for (const WeightedService& it : route.services) {
    services.push_back(it.service);
  }
  return services;
}

int PriorityOf(const Route& route, const Workspace* workspace) {
  if (workspace != nullptr && workspace->priority >= 0) {
    return workspace->priority;
  }
  return route.priority;
}

}  // namespace knapweed::gateway
