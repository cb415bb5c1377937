#ifndef KNAPWEED_BASE_CLOCK_H_
#define KNAPWEED_BASE_CLOCK_H_

#include <atomic>
#include <compare>
#include <cstdint>

namespace knapweed {

/// A time span, or a point on the monotonic clock, in milliseconds.
struct Ms {
  int64_t count = 0;

  constexpr auto operator<=>(const Ms&) const = default;
  constexpr Ms operator+(Ms other) const { return Ms{count + other.count}; }
  constexpr Ms operator-(Ms other) const { return Ms{count - other.count}; }
  constexpr Ms operator*(int64_t n) const { return Ms{count * n}; }
  constexpr Ms operator/(int64_t n) const { return Ms{count / n}; }
  constexpr Ms& operator+=(Ms other) {
    count += other.count;
    return *this;
  }
  constexpr double Seconds() const {
    return static_cast<double>(count) / 1000.0;
  }
};

constexpr Ms Seconds(int64_t n) { return Ms{n * 1000}; }

/// A time source. A steady clock follows the machine's monotonic clock; a
/// manual clock moves only when a test advances it, so that a failed run can be
/// reproduced from its seed. Safe to use from any thread.
///
/// Example: `Clock clock = Clock::Manual(); clock.Advance(Seconds(5));`
class Clock {
 public:
  /// Returns a clock that follows the machine's monotonic clock. It also counts
  /// the time for which the process is paused or the machine is suspended, so
  /// that a lease holder that resumes late sees that its lease has expired.
  static Clock Steady() { return Clock(false); }
  /// Returns a clock that starts at `start` and moves only by `Advance`.
  static Clock Manual(Ms start = Ms{0}) {
    Clock clock(true);
    clock.manual_now_.store(start.count);
    return clock;
  }

  Clock(const Clock& other)
      : manual_(other.manual_), manual_now_(other.manual_now_.load()) {}
  Clock& operator=(const Clock&) = delete;

  Ms Now() const;
  /// Moves a manual clock forward. No effect on a steady clock.
  void Advance(Ms by) { manual_now_.fetch_add(by.count); }

 private:
  explicit Clock(bool manual) : manual_(manual) {}

  bool manual_;
  std::atomic<int64_t> manual_now_{0};
};

/// Returns the wall-clock time since 1970. It may jump; measure intervals and
/// timeouts within a process with `Clock`.
Ms WallTime();

/// Blocks the calling thread for `span`.
void SleepFor(Ms span);

}  // namespace knapweed

#endif  // KNAPWEED_BASE_CLOCK_H_
