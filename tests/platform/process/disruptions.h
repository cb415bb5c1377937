#ifndef KNAPWEED_TESTS_PLATFORM_PROCESS_DISRUPTIONS_H_
#define KNAPWEED_TESTS_PLATFORM_PROCESS_DISRUPTIONS_H_

#include "tests/platform/process/process_world.h"

/// Planned work and faults of gateway processes, in series and overlapping.
namespace knapweed::testing {

/// Alternates spans of planned work alone with spans in which faults overlap
/// it, until `until`. At the end all processes are killed at once and started
/// again. Sets `*done` after that. `with_faults` is false for planned work
/// only.
gateway::Task<void> RunDisruptions(ProcessWorld& world, uint64_t seed, Ms until,
                                   bool with_faults, bool* done);

}  // namespace knapweed::testing

#endif  // KNAPWEED_TESTS_PLATFORM_PROCESS_DISRUPTIONS_H_
