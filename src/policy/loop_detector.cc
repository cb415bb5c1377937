#include "knapweed/policy/loop_detector.h"

#include <algorithm>

namespace knapweed {

bool DetectLoop(LoopDetector& detector, uint64_t turn_digest, uint32_t times) {
  constexpr size_t kMax = LoopDetector::kMaxPeriod;
  bool looping = false;
  for (size_t period = 1; period <= kMax; ++period) {
    uint32_t& repeats = detector.repeats[period - 1];
    const size_t before = (detector.turns + kMax - period) % kMax;
    const bool same =
        detector.turns >= period && detector.latest[before] == turn_digest;
    repeats = same ? repeats + 1 : 0;
    looping = looping || (times > 1 && repeats >= period * (times - 1));
  }
  detector.latest[detector.turns % kMax] = turn_digest;
  ++detector.turns;
  return looping;
}

}  // namespace knapweed
