#include "knapweed/sidecar/task_thread.h"

#include <chrono>
#include <future>
#include <memory>
#include <utility>

namespace knapweed {

TaskThread::TaskThread(Ms interval, std::function<void()> periodic)
    : interval_(interval),
      periodic_(std::move(periodic)),
      thread_([this] { Loop(); }) {}

TaskThread::~TaskThread() {
  {
    const std::lock_guard lock(mu_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void TaskThread::Post(std::function<void()> task) {
  {
    const std::lock_guard lock(mu_);
    tasks_.push_back(std::move(task));
  }
  changed_.notify_all();
}

void TaskThread::Flush() {
  auto done = std::make_shared<std::promise<void>>();
  std::future<void> ran = done->get_future();
  Post([done] { done->set_value(); });
  ran.wait();
}

void TaskThread::Loop() {
  using std::chrono::steady_clock;
  const std::chrono::milliseconds interval(interval_.count);
  auto next = steady_clock::now() + interval;
  std::unique_lock lock(mu_);
  while (!stopping_) {
    changed_.wait_until(lock, next,
                        [this] { return stopping_ || !tasks_.empty(); });
    if (stopping_) return;
    std::function<void()> task;
    if (steady_clock::now() >= next) {
      task = periodic_;
      next = steady_clock::now() + interval;
    } else if (!tasks_.empty()) {
      task = std::move(tasks_.front());
      tasks_.pop_front();
    } else {
      continue;
    }
    lock.unlock();
    task();
    lock.lock();
  }
}

}  // namespace knapweed
