#include "tests/process/child_process.h"

#include <fcntl.h>
#include <linux/close_range.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <utility>

namespace knapweed {
namespace {

constexpr int kExecFailedExitCode = 127;
constexpr Ms kPollInterval{10};

// Waits until the child holds no end of the pipe any more, since it executes
// its program or has ended.
void WaitForExec(int (&executed)[2]) {
  close(executed[1]);
  char byte = 0;
  while (read(executed[0], &byte, 1) < 0 && errno == EINTR) {
  }
  close(executed[0]);
}

}  // namespace

ChildProcess::ChildProcess(std::vector<std::string> command,
                           std::string log_path)
    : command_(std::move(command)), log_path_(std::move(log_path)) {
  Start();
}

ChildProcess::~ChildProcess() { Kill(); }

void ChildProcess::Start() {
  std::vector<char*> arguments;
  for (std::string& it : command_) arguments.push_back(it.data());
  arguments.push_back(nullptr);
  const pid_t parent = getpid();
  int executed[2] = {-1, -1};
  const bool has_pipe = pipe2(executed, O_CLOEXEC) == 0;
  pid_ = fork();
  if (pid_ != 0) {
    // Until then a signal would find the test's handlers.
    if (has_pipe) WaitForExec(executed);
    return;
  }
  // Ends the process when the test process dies, so that none is left behind.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(kExecFailedExitCode);
  const int fd =
      open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2(fd, STDOUT_FILENO);
  dup2(fd, STDERR_FILENO);
  // A connection of the test stays open while a child holds it too.
  close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  execv(arguments.front(), arguments.data());
  _exit(kExecFailedExitCode);
}

void ChildProcess::Reap() {
  if (pid_ <= 0) return;
  waitpid(pid_, &wait_status_, 0);
  pid_ = -1;
}

void ChildProcess::Kill() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  Reap();
}

void ChildProcess::Pause() {
  if (pid_ > 0) kill(pid_, SIGSTOP);
}

void ChildProcess::Signal(int number) {
  if (pid_ > 0) kill(pid_, number);
}

void ChildProcess::Resume() {
  if (pid_ > 0) kill(pid_, SIGCONT);
}

int ChildProcess::Stop(Ms timeout) {
  if (pid_ <= 0) return -1;
  kill(pid_, SIGTERM);
  const Clock clock = Clock::Steady();
  const Ms deadline = clock.Now() + timeout;
  while (clock.Now() < deadline) {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = -1;
      return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    SleepFor(kPollInterval);
  }
  Kill();
  return -1;
}

bool ChildProcess::Running() {
  if (pid_ <= 0) return false;
  if (waitpid(pid_, &wait_status_, WNOHANG) != pid_) return true;
  pid_ = -1;
  return false;
}

void ChildProcess::Restart() { Start(); }

}  // namespace knapweed
