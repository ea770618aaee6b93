#ifndef TESTS_PROCESSES_CHILD_PROCESS_H_
#define TESTS_PROCESSES_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace pomelotray {

// Runs a program as a child process. The destructor ends the child if it still runs. Not
// thread-safe.
class ChildProcess {
 public:
  // Added to the signal number in the exit code of a child that was ended by a signal.
  static constexpr int kEndedBySignal = 128;

  // `arguments` starts with the path of the program. `environment` holds entries of the form
  // "<name>=<value>" and replaces the environment of the test. Standard output and standard error
  // are written to the two files.
  ChildProcess(std::vector<std::string> arguments, std::vector<std::string> environment,
               const std::string& output_file, const std::string& error_file);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Sends a signal to the child; does nothing once Wait() has seen it end.
  void Signal(int number) const;
  // Returns the exit code, or nothing if the child still runs when `limit` has passed. The exit
  // code of a child that was ended by signal n is kEndedBySignal + n.
  std::optional<int> Wait(absl::Duration limit);

 private:
  pid_t pid_ = -1;
  std::optional<int> exit_code_;
};

}  // namespace pomelotray

#endif  // TESTS_PROCESSES_CHILD_PROCESS_H_
