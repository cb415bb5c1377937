#ifndef KNAPWEED_TESTS_SEND_LIMIT_FLEET_H_
#define KNAPWEED_TESTS_SEND_LIMIT_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "knapweed/gateway/send_limits.h"

/// Model of a fleet of gateways that send to one limited upstream: the
/// gateways' own `SendLimits` on a virtual clock with a simulated network,
/// store and faults. One seed determines a run.
namespace knapweed::testing {

/// A fault of some gateways.
enum class FleetFault : uint8_t {
  kNone,
  /// Killed, and back after a second; their addresses refuse connections.
  kKill,
  /// Silent for three seconds, then started again.
  kPowerLoss,
  /// Stopped as planned, one after the other, and started again.
  kRollingStop,
  /// Paused for four seconds.
  kFreeze,
  /// Partitioned from all other gateways and the store for five seconds.
  kCut,
  /// Messages to and from them take up to 0.3 s for five seconds.
  kSlow,
  /// The store is away for ten seconds, and a part is killed meanwhile.
  kStoreAwayAndKill,
  /// Gateways are added.
  kGrow,
  /// The same, and the store is away before all have read of each other.
  kGrowAndStoreAway,
};

/// One run: the fleet, the upstream and its load, and the faults.
struct FleetScenario {
  int gateways = 7;
  double limit_per_s = 5;
  /// Requests that callers send for this upstream, relative to its limit.
  double demand = 3;
  /// All gateways get the same share of them; otherwise the first get more.
  bool is_demand_even = false;
  FleetFault fault = FleetFault::kNone;
  /// Fraction of the gateways that a fault strikes; the home is among them.
  double share = 0.3;
  /// Faults strike at this interval.
  Ms fault_interval{7000};
  /// Gateways that are added; a half of the fleet if not set.
  int added = 0;
  /// Time from their start until the store is away.
  Ms store_away_after{400};
  uint64_t seed = 1;
  /// Decides which gateway is the home.
  std::string upstream = "i-limited";
  /// The upstream states no limit but is cold; `limit_per_s` is its bound.
  bool is_cold = false;
};

/// What the upstream got.
struct FleetOutcome {
  /// Most requests in a window, of gateways that no fault excuses.
  int most_in_window = 0;
  /// Requests while the limit was stated, per second, relative to it.
  double used = 0;
  /// Gateways that still took the upstream for limited 8 s after the end of the
  /// limit, while callers go on asking.
  int still_limited = 0;
};

/// Window of the platform's bound.
inline constexpr Ms kLimitWindow{4000};
/// The same of a cold upstream, whose requests of all gateways count always.
inline constexpr Ms kColdWindow{1000};
/// Returns the platform's bound on the requests in a window.
inline double MostAllowed(double limit_per_s, Ms window = kLimitWindow) {
  return 1.5 * limit_per_s * window.Seconds() + 5;
}

FleetOutcome RunFleet(const FleetScenario& scenario);

}  // namespace knapweed::testing

#endif  // KNAPWEED_TESTS_SEND_LIMIT_FLEET_H_
