#ifndef KNAPWEED_POLICY_LOOP_DETECTOR_H_
#define KNAPWEED_POLICY_LOOP_DETECTOR_H_

#include <array>
#include <cstddef>
#include <cstdint>

namespace knapweed {

/// Keeps digests of the latest turns of a program, to detect one that repeats
/// itself. Plain data of fixed size.
struct LoopDetector {
  /// Longest detected cycle, in turns.
  static constexpr size_t kMaxPeriod = 4;

  std::array<uint64_t, kMaxPeriod> latest{};
  /// Consecutive turns that equalled the turn `period` turns before them; index
  /// `period` - 1.
  std::array<uint32_t, kMaxPeriod> repeats{};
  uint64_t turns = 0;
};

/// Adds the digest of a turn (model output and tool results). Returns true when
/// the latest turns are one cycle that occurs at least `times` times in a row.
bool DetectLoop(LoopDetector& detector, uint64_t turn_digest, uint32_t times);

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_LOOP_DETECTOR_H_
