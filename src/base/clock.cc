#include "knapweed/base/clock.h"

#include <time.h>

#include <chrono>
#include <thread>

namespace knapweed {
namespace {

template <typename T>
Ms ToMs(T span) {
  return Ms{
      std::chrono::duration_cast<std::chrono::milliseconds>(span).count()};
}

}  // namespace

Ms Clock::Now() const {
  if (manual_) return Ms{manual_now_.load()};
  // CLOCK_BOOTTIME, unlike CLOCK_MONOTONIC, also counts the time for which the
  // machine was suspended.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  constexpr int64_t kNsInMs = 1000000;
  return Ms{int64_t{now.tv_sec} * 1000 + now.tv_nsec / kNsInMs};
}

Ms WallTime() {
  return ToMs(std::chrono::system_clock::now().time_since_epoch());
}

void SleepFor(Ms span) {
  std::this_thread::sleep_for(std::chrono::milliseconds(span.count));
}

}  // namespace knapweed
