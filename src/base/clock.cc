#include "knapweed/base/clock.h"

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
  return ToMs(std::chrono::steady_clock::now().time_since_epoch());
}

Ms WallTime() {
  return ToMs(std::chrono::system_clock::now().time_since_epoch());
}

void SleepFor(Ms span) {
  std::this_thread::sleep_for(std::chrono::milliseconds(span.count));
}

}  // namespace knapweed
