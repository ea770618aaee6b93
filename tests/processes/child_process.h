#ifndef TESTS_PROCESSES_CHILD_PROCESS_H_
#define TESTS_PROCESSES_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace pomelotray {

// One program started as a child, ended at the latest by the destructor. Used by one thread.
class ChildProcess {
 public:
  // Exit code of a child that a signal ended.
  static constexpr int kEndedBySignal = 128;

  // `arguments` starts with the program's path; `environment` holds "<name>=<value>" and replaces
  // that of the test. Standard output and error are written to the two files.
  ChildProcess(std::vector<std::string> arguments, std::vector<std::string> environment,
               const std::string& output_file, const std::string& error_file);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Does nothing when the child has ended.
  void Signal(int number) const;
  // Empty while the child still runs at the end of the time. A child that signal n ended has the
  // exit code kEndedBySignal + n.
  std::optional<int> Wait(absl::Duration limit);

 private:
  pid_t pid_ = -1;
  std::optional<int> exit_code_;
};

}  // namespace pomelotray

#endif  // TESTS_PROCESSES_CHILD_PROCESS_H_
