#ifndef KNAPWEED_TESTS_RATE_FLEET_H_
#define KNAPWEED_TESTS_RATE_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "knapweed/gateway/permit_book.h"
#include "knapweed/gateway/permit_owners.h"
#include "knapweed/gateway/quotas.h"
#include "knapweed/gateway/rate_slots.h"

/// A simulated fleet of gateways that admit the calls of one workspace: their
/// announcements and slots go through a simulated store, their requests for
/// permits through simulated messages. One step is one millisecond.
namespace knapweed::gateway {

/// How the calls come.
enum class CallPattern : uint8_t { kConstant, kRising, kPulses, kMoving };

/// What may go wrong, each at random times.
struct FleetFaults {
  /// Processes are killed, or stop and start again, and lose what they knew.
  bool restarts = false;
  /// Processes are paused for up to 90 s.
  bool pauses = false;
  /// Gateways reach neither the store nor each other.
  bool cuts = false;
  /// The store is away, loses answers and applies commits late.
  bool store = false;
  /// Messages are late or lost.
  bool messages = false;
  /// Gateways are added.
  bool additions = false;
  /// The limit changes.
  bool limits = false;
};

struct FleetPlan {
  size_t gateways = 0;
  double rate_per_s = 0;
  double burst = 0;
  CallPattern pattern = CallPattern::kConstant;
  /// Calls that arrive, relative to the rate.
  double demand = 6;
  Ms duration = Seconds(40);
  /// The counts that gateways exchange decide before a permit is asked for.
  bool with_counts = false;
  /// A third of the gateways is killed at this interval; zero for never.
  Ms kill_interval;
  FleetFaults faults;
};

struct FleetOutcome {
  /// Calls in the worst window, and what was tolerated there.
  size_t most = 0;
  size_t tolerated = 0;
  int calls = 0;
  int refused = 0;
  /// Requests for permits to other gateways.
  int asked = 0;
  /// Windows with more calls than tolerated.
  int exceeded = 0;
};

/// Runs the plan with the schedule of a seed.
FleetOutcome RunFleet(const FleetPlan& plan, uint32_t seed);

}  // namespace knapweed::gateway

#endif  // KNAPWEED_TESTS_RATE_FLEET_H_
