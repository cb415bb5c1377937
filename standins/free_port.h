#ifndef KNAPWEED_STANDINS_FREE_PORT_H_
#define KNAPWEED_STANDINS_FREE_PORT_H_

#include "knapweed/base/settings.h"

namespace knapweed {

/// A loopback address whose port was free a moment ago and lies below the range
/// from which the kernel gives out ports, so that test programs side by side
/// don't meet.
Address FreeLoopbackAddress();

}  // namespace knapweed

#endif  // KNAPWEED_STANDINS_FREE_PORT_H_
