#include <algorithm>
#include <limits>

#include "knapweed/base/settings.h"
#include "knapweed/gateway/gateway.h"
#include "knapweed/policy/memory_guard.h"

namespace knapweed::gateway {
namespace {

/// Returns whether engines start calls by slack.
bool ReadOrder(Settings& settings) {
  const std::string order =
      settings.GetString("placement", "order", "priority");
  if (order != "priority" && order != "slack") {
    settings.AddFault("placement", "order", "expected priority or slack");
  }
  return order == "slack";
}
/// 1 TB; a larger number is most likely meant in another unit.
constexpr double kMaxMemoryMb = 1 << 20;
constexpr double kMinRowBytes = 1024;
/// Longer rows are not written, whatever the store takes.
constexpr double kMaxRowBytes = 8 << 20;
constexpr double kMaxFigure = std::numeric_limits<uint32_t>::max();

QuotaTolerance ReadTolerance(Settings& settings, QuotaTolerance tolerance) {
  const Ms window = settings.GetMs("quota", "window", tolerance.window);
  if (window > Ms{0}) {
    tolerance.window = window;
  } else {
    settings.AddFigureFault("quota", "window", "expected more than 0");
  }
  tolerance.over_share = settings.GetFigure(
      "quota", "over_share", tolerance.over_share, 0, kMaxFigure);
  tolerance.slack_calls = settings.GetFigure(
      "quota", "slack_calls", tolerance.slack_calls, 0, kMaxFigure);
  return tolerance;
}

/// Rounds down to whole bytes: the store refuses longer rows.
size_t ReadRowBytes(Settings& settings, size_t in_force) {
  const double stated =
      settings.GetFigure("store", "row_bytes", static_cast<double>(in_force),
                         kMinRowBytes, kMaxFigure);
  return static_cast<size_t>(std::min(stated, kMaxRowBytes));
}

/// Rounds down to whole MB: the process may use no more than is stated.
uint64_t ReadMemoryMb(Settings& settings, uint64_t in_force) {
  const double stated = settings.GetFigure(
      "gateway", "memory_mb", static_cast<double>(in_force), 0, kMaxMemoryMb);
  const auto memory_mb = static_cast<int64_t>(stated);
  if (memory_mb == 0 || memory_mb >= kMinMemoryMb) {
    return static_cast<uint64_t>(memory_mb);
  }
  settings.AddFigureFault(
      "gateway", "memory_mb",
      "expected 0 (no bound) or at least " + std::to_string(kMinMemoryMb));
  return in_force;
}

/// Reads all settings; figures that can't be used keep those of `in_force`.
GatewayConfig ReadAll(Settings& settings, const GatewayConfig& in_force) {
  GatewayConfig config;
  config.name = settings.GetString("gateway", "name");
  config.failure_domain = settings.GetString("gateway", "failure_domain");
  config.callers = settings.GetAddress("gateway", "callers");
  config.readiness = settings.GetAddress("gateway", "readiness");
  config.peers = settings.GetAddress("gateway", "peers");
  config.seeds = settings.GetAddresses("gateway", "seeds", "");
  config.metrics = settings.GetAddress("metrics", "listen");
  config.store = settings.GetAddress("store", "address");
  config.row_bytes = ReadRowBytes(settings, in_force.row_bytes);
  config.quota = ReadTolerance(settings, in_force.quota);
  config.placement.learn_speeds =
      settings.GetBool("placement", "learn_speeds", false);
  config.placement.prefix_homes =
      settings.GetBool("placement", "prefix_homes", false);
  config.order_by_slack = ReadOrder(settings);
  config.admit_programs = settings.GetBool("overload", "admission", false);
  config.grace = settings.GetMs("shutdown", "grace", in_force.grace);
  config.memory_mb = ReadMemoryMb(settings, in_force.memory_mb);
  config.log_level = ReadLogLevel(settings);
  return config;
}

}  // namespace

absl::StatusOr<GatewayConfig> ReadGatewayConfig(const std::string& path) {
  Settings settings = Settings::Load(path);
  GatewayConfig config = ReadAll(settings, GatewayConfig{});
  const absl::Status status = settings.Check();
  if (!status.ok()) return status;
  return config;
}

absl::StatusOr<UsableSettings> ReadUsableSettings(
    const std::string& path, const GatewayConfig& in_force) {
  Settings settings = Settings::Load(path);
  UsableSettings usable;
  usable.config = ReadAll(settings, in_force);
  const absl::Status status = settings.CheckWithoutFigures();
  if (!status.ok()) return status;
  usable.unused_figures = settings.figure_faults();
  return usable;
}

}  // namespace knapweed::gateway
