#ifndef KNAPWEED_STANDINS_ENGINE_H_
#define KNAPWEED_STANDINS_ENGINE_H_

#include "standins/standin.h"

namespace knapweed {

/// Creates a fake model engine with continuous batching and a prefix cache. Its
/// answers are deterministic; see EngineAnswer.
Standin MakeEngineStandin();

}  // namespace knapweed

#endif  // KNAPWEED_STANDINS_ENGINE_H_
