#ifndef KNAPWEED_ENTRY_PERIODIC_TASK_H_
#define KNAPWEED_ENTRY_PERIODIC_TASK_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "knapweed/base/clock.h"

namespace knapweed {

/// Runs a function repeatedly on its own thread, with a pause between runs,
/// until destroyed. The destructor waits for the run in progress.
class PeriodicTask {
 public:
  PeriodicTask(Ms pause, std::function<void()> step);
  ~PeriodicTask();
  PeriodicTask(const PeriodicTask&) = delete;
  PeriodicTask& operator=(const PeriodicTask&) = delete;

  void Start();

 private:
  void Loop();

  const Ms pause_;
  const std::function<void()> step_;
  std::mutex mu_;
  std::condition_variable stopped_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace knapweed

#endif  // KNAPWEED_ENTRY_PERIODIC_TASK_H_
