#ifndef KNAPWEED_SIDECAR_TASK_THREAD_H_
#define KNAPWEED_SIDECAR_TASK_THREAD_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

#include "knapweed/base/clock.h"

namespace knapweed {

/// Runs posted tasks in order on its own thread, and a periodic task between
/// them. The destructor waits for the current task and drops those not yet
/// started. Thread-safe.
class TaskThread {
 public:
  /// Starts the thread, which runs `periodic` every `interval`.
  TaskThread(Ms interval, std::function<void()> periodic);
  ~TaskThread();
  TaskThread(const TaskThread&) = delete;
  TaskThread& operator=(const TaskThread&) = delete;

  /// Queues a task. Does not block.
  void Post(std::function<void()> task);
  /// Blocks until all tasks posted before have run.
  void Flush();

 private:
  void Loop();

  const Ms interval_;
  const std::function<void()> periodic_;
  std::mutex mu_;
  std::condition_variable changed_;
  std::deque<std::function<void()>> tasks_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace knapweed

#endif  // KNAPWEED_SIDECAR_TASK_THREAD_H_
