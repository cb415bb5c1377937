#include "io_threads.h"

#include <mutex>

namespace knapweed {
namespace {

constexpr int kClientThreads = 2;

}  // namespace

IoThreads::IoThreads(int count) {
  for (int i = 0; i < count; ++i) {
    // The concurrency hint 1 lets a loop that one thread runs skip some
    // locking.
    loops_.push_back(std::make_shared<boost::asio::io_context>(1));
    guards_.push_back(boost::asio::make_work_guard(*loops_.back()));
    threads_.emplace_back([loop = loops_.back()] { loop->run(); });
  }
}

IoThreads::~IoThreads() { Join(); }

void IoThreads::Join() {
  for (WorkGuard& guard : guards_) guard.reset();
  for (std::thread& thread : threads_) {
    if (thread.joinable()) thread.join();
  }
}

const IoThreads::Loop& IoThreads::NextLoop() {
  return loops_[next_.fetch_add(1) % loops_.size()];
}

std::shared_ptr<IoThreads> IoThreads::ForClients() {
  static std::mutex mu;
  static std::weak_ptr<IoThreads> current;
  const std::lock_guard lock(mu);
  std::shared_ptr<IoThreads> threads = current.lock();
  if (threads == nullptr) {
    threads = std::make_shared<IoThreads>(kClientThreads);
    current = threads;
  }
  return threads;
}

}  // namespace knapweed
