#ifndef KNAPWEED_STANDINS_FREE_PORT_H_
#define KNAPWEED_STANDINS_FREE_PORT_H_

#include "knapweed/base/settings.h"

namespace knapweed {

/// Returns a loopback address whose port was free when checked. The port lies
/// below the kernel's ephemeral range and the search starts at an offset
/// derived from the process id, so that test programs that run in parallel
/// rarely pick the same port. Aborts when no port is free. Thread-safe.
Address FreeLoopbackAddress();

}  // namespace knapweed

#endif  // KNAPWEED_STANDINS_FREE_PORT_H_
