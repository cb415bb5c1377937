#ifndef KNAPWEED_STANDINS_SERVICE_H_
#define KNAPWEED_STANDINS_SERVICE_H_

#include "standins/standin.h"

namespace knapweed {

/// A plain service that answers every path and records what ran and how often,
/// by the "reference" field of the body.
Standin MakeServiceStandin();

/// A tool service: POST /tool/NAME takes its time and answers.
Standin MakeToolStandin();

}  // namespace knapweed

#endif  // KNAPWEED_STANDINS_SERVICE_H_
