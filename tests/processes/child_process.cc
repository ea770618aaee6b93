#include "tests/processes/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "absl/time/clock.h"

namespace pomelotray {
namespace {

constexpr absl::Duration kStopLimit = absl::Seconds(2);
constexpr absl::Duration kPollInterval = absl::Milliseconds(10);
constexpr int kExecFailed = 127;
constexpr int kFileMode = 0600;

std::vector<char*> MakePointerArray(std::vector<std::string>* texts) {
  std::vector<char*> pointers;
  for (std::string& text : *texts) {
    pointers.push_back(text.data());
  }
  pointers.push_back(nullptr);
  return pointers;
}

}  // namespace

ChildProcess::ChildProcess(std::vector<std::string> arguments, std::vector<std::string> environment,
                           const std::string& output_file, const std::string& error_file) {
  const std::vector<char*> argv = MakePointerArray(&arguments);
  const std::vector<char*> envp = MakePointerArray(&environment);
  // Restores the default handler: that of Boost.Test reports a child that is ended by a signal as
  // an error of the test case.
  signal(SIGCHLD, SIG_DFL);
  const int output = open(output_file.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
  const int error = open(error_file.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
  pid_ = fork();
  if (pid_ == 0) {
    // Makes the kernel kill the child when the test program dies.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(output, STDOUT_FILENO);
    dup2(error, STDERR_FILENO);
    execve(argv[0], argv.data(), envp.data());
    _exit(kExecFailed);
  }
  close(output);
  close(error);
}

ChildProcess::~ChildProcess() {
  Signal(SIGCONT);
  Signal(SIGTERM);
  if (!Wait(kStopLimit).has_value()) {
    Signal(SIGKILL);
    Wait(kStopLimit);
  }
}

void ChildProcess::Signal(int number) const {
  if (pid_ > 0 && !exit_code_.has_value()) {
    kill(pid_, number);
  }
}

std::optional<int> ChildProcess::Wait(absl::Duration limit) {
  const absl::Time deadline = absl::Now() + limit;
  while (pid_ > 0 && !exit_code_.has_value()) {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : kEndedBySignal + WTERMSIG(status);
    } else if (absl::Now() >= deadline) {
      break;
    } else {
      absl::SleepFor(kPollInterval);
    }
  }
  return exit_code_;
}

}  // namespace pomelotray
