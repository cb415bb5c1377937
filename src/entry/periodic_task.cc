#include "knapweed/entry/periodic_task.h"

#include <chrono>
#include <utility>

namespace knapweed {

PeriodicTask::PeriodicTask(Ms pause, std::function<void()> step)
    : pause_(pause), step_(std::move(step)) {}

PeriodicTask::~PeriodicTask() {
  {
    const std::lock_guard lock(mu_);
    stopping_ = true;
  }
  stopped_.notify_all();
  if (thread_.joinable()) thread_.join();
}

void PeriodicTask::Start() {
  thread_ = std::thread([this] { Loop(); });
}

void PeriodicTask::Loop() {
  std::unique_lock lock(mu_);
  while (!stopping_) {
    lock.unlock();
    step_();
    lock.lock();
    stopped_.wait_for(lock, std::chrono::milliseconds(pause_.count),
                      [this] { return stopping_; });
  }
}

}  // namespace knapweed
