#ifndef KNAPWEED_SIDECAR_TASK_THREAD_H_
#define KNAPWEED_SIDECAR_TASK_THREAD_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

#include "knapweed/base/clock.h"

namespace knapweed {

/// A thread that runs tasks in the order in which they came, and one task at
/// intervals between them. The destructor drops tasks that have not begun.
class TaskThread {
 public:
  TaskThread(Ms interval, std::function<void()> periodic);
  ~TaskThread();
  TaskThread(const TaskThread&) = delete;
  TaskThread& operator=(const TaskThread&) = delete;

  void Post(std::function<void()> task);
  /// Waits until all tasks posted before have run.
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
