#ifndef KNAPWEED_POLICY_LOOP_DETECTOR_H_
#define KNAPWEED_POLICY_LOOP_DETECTOR_H_

#include <array>
#include <cstddef>
#include <cstdint>

namespace knapweed {

/// Remembers a program's latest turns, to notice one that repeats itself.
/// Plain data of fixed size.
struct LoopDetector {
  /// Longest cycle of turns that is noticed.
  static constexpr size_t kMaxPeriod = 4;

  std::array<uint64_t, kMaxPeriod> latest{};
  /// Turns in a row that equalled the turn `period` before them.
  std::array<uint32_t, kMaxPeriod> repeats{};
  uint64_t turns = 0;
};

/// Adds the digest of a turn (what the model said and what the tools answered).
/// True when the last turns are one cycle repeated `times` times.
bool DetectLoop(LoopDetector& detector, uint64_t turn_digest, uint32_t times);

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_LOOP_DETECTOR_H_
