#ifndef KNAPWEED_TESTS_PROCESS_CHILD_PROCESS_H_
#define KNAPWEED_TESTS_PROCESS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

#include "knapweed/base/clock.h"

namespace knapweed {

/// A process of the test fleet, started by this test and ended by its id.
class ChildProcess {
 public:
  /// Starts a program; its output is appended to `log_path`.
  ChildProcess(std::vector<std::string> command, std::string log_path);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Ends it at once, as when its VM is lost.
  void Kill();
  void Pause();
  void Resume();
  /// Asks it to stop, and waits for its end. Returns its exit code; -1 when it
  /// had to be killed after the limit.
  int Stop(Ms timeout);
  /// Whether it still runs. False also when it ended by itself.
  bool Running();
  /// Starts the same command again. It must have ended.
  void Restart();

  pid_t pid() const { return pid_; }

 private:
  void Start();
  void Reap();

  std::vector<std::string> command_;
  std::string log_path_;
  pid_t pid_ = -1;
};

}  // namespace knapweed

#endif  // KNAPWEED_TESTS_PROCESS_CHILD_PROCESS_H_
