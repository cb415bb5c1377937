#ifndef KNAPWEED_STANDINS_SERVICE_H_
#define KNAPWEED_STANDINS_SERVICE_H_

#include "standins/standin.h"

namespace knapweed {

/// Creates a fake service that answers every path, and records each call and
/// whether it ran. Runs are counted by the "reference" field of the body.
Standin MakeServiceStandin();

/// Creates a fake tool service, for POST /tool/NAME. It behaves like the plain
/// service, but its record entries have the kind "tool".
Standin MakeToolStandin();

}  // namespace knapweed

#endif  // KNAPWEED_STANDINS_SERVICE_H_
