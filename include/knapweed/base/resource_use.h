#ifndef KNAPWEED_BASE_RESOURCE_USE_H_
#define KNAPWEED_BASE_RESOURCE_USE_H_

#include <cstdint>

#include "knapweed/base/clock.h"

/// What this process uses of its machine, as the operating system counts it.
namespace knapweed {

struct ResourceUse {
  /// Processor time of all threads, in the program and in the system for it.
  Ms processor;
  /// Memory in RAM, now and at most so far; 0 if it can't be read.
  int64_t resident_kb = 0;
  int64_t peak_resident_kb = 0;
};

ResourceUse ReadResourceUse();

}  // namespace knapweed

#endif  // KNAPWEED_BASE_RESOURCE_USE_H_
