#ifndef KNAPWEED_TESTS_PROCESS_CHILD_PROCESS_H_
#define KNAPWEED_TESTS_PROCESS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

#include "knapweed/base/clock.h"

namespace knapweed {

/// A child process of the test, owned by the fleet. It is signalled by its
/// process id only. Not thread safe.
class ChildProcess {
 public:
  /// Starts a program. Its output is appended to `log_path`. A program that
  /// cannot be executed exits with 127.
  ChildProcess(std::vector<std::string> command, std::string log_path);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Kills the process with SIGKILL, as if its VM were lost, and reaps it.
  void Kill();
  /// Stops the process with SIGSTOP until Resume().
  void Pause();
  void Resume();
  /// Sends SIGTERM and waits for the exit. Returns the exit code; -1 if the
  /// process was ended by a signal or was killed after the timeout.
  int Stop(Ms timeout);
  /// Returns whether the process still runs, and reaps it if it has exited.
  bool Running();
  /// Starts the same command again. The process must have exited.
  void Restart();

  /// Sends a signal, if the process runs.
  void Signal(int number);
  /// How the process ended last, as waitpid() tells it. Not set by `Stop`.
  int wait_status() const { return wait_status_; }
  pid_t pid() const { return pid_; }

 private:
  void Start();
  void Reap();

  std::vector<std::string> command_;
  std::string log_path_;
  pid_t pid_ = -1;
  int wait_status_ = 0;
};

}  // namespace knapweed

#endif  // KNAPWEED_TESTS_PROCESS_CHILD_PROCESS_H_
