#ifndef KNAPWEED_TESTS_PLATFORM_PROCESS_CALLERS_H_
#define KNAPWEED_TESTS_PLATFORM_PROCESS_CALLERS_H_

#include "tests/platform/process/process_world.h"

/// Callers that keep using open connections until the gateway closes them.
namespace knapweed::testing {

/// How many callers of each sort run side by side.
struct CallerCounts {
  int plain = 30;
  int turns = 8;
  int resumable = 14;
  /// Chains on the route that keeps turns long, and short.
  int long_chains = 10;
  int short_chains = 10;
};

/// Starts the callers, which end once `world.stopping` is set.
void StartCallers(ProcessWorld& world, const CallerCounts& counts,
                  uint64_t seed);

}  // namespace knapweed::testing

#endif  // KNAPWEED_TESTS_PLATFORM_PROCESS_CALLERS_H_
