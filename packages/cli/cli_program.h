#ifndef POMELOTRAY_CLI_CLI_PROGRAM_H_
#define POMELOTRAY_CLI_CLI_PROGRAM_H_

#include <istream>
#include <ostream>
#include <string>
#include <vector>

#include "base/setting_table.h"

namespace pomelotray {

// The command-line program, independent of process globals so that tests can run it. Parses `args`
// (without the program name), runs the command and returns the exit code.
class CliProgram {
 public:
  CliProgram(SettingTable::Environment environment, std::istream* in, std::ostream* out,
             std::ostream* err);

  int Run(const std::vector<std::string>& args);

 private:
  Result<int> RunCommand(const std::vector<std::string>& args);
  // Prints the overview or the help page of one command.
  int Help(const std::vector<std::string>& words);
  int PrintError(const Error& error);

  const SettingTable::Environment environment_;
  std::istream* const in_;
  std::ostream* const out_;
  std::ostream* const err_;
  // Whether the API was called. Until then, an invalid argument is a usage error.
  bool api_called_ = false;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CLI_CLI_PROGRAM_H_
