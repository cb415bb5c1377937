#ifndef KNAPWEED_SRC_WIRE_IO_THREADS_H_
#define KNAPWEED_SRC_WIRE_IO_THREADS_H_

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>
#include <vector>

namespace knapweed {

/// A fixed number of network threads, each with its own event loop. A
/// connection stays on one loop, so that its handlers never run concurrently.
class IoThreads {
 public:
  using Loop = std::shared_ptr<boost::asio::io_context>;

  explicit IoThreads(int count);
  ~IoThreads();
  IoThreads(const IoThreads&) = delete;
  IoThreads& operator=(const IoThreads&) = delete;

  /// Waits until every loop has run out of work and its thread has ended. All
  /// connections must be closed before. Also called by the destructor.
  void Join();

  /// Returns the loop for the next connection, in round-robin order.
  const Loop& NextLoop();

  /// Returns the threads that all clients of this process share. They are
  /// created for the first client and end with the last.
  static std::shared_ptr<IoThreads> ForClients();

 private:
  using WorkGuard =
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  std::vector<Loop> loops_;
  std::vector<WorkGuard> guards_;
  std::vector<std::thread> threads_;
  std::atomic<size_t> next_{0};
};

}  // namespace knapweed

#endif  // KNAPWEED_SRC_WIRE_IO_THREADS_H_
