#ifndef POMELOTRAY_CLI_CLI_PROGRAM_H_
#define POMELOTRAY_CLI_CLI_PROGRAM_H_

#include <istream>
#include <ostream>
#include <string>
#include <vector>

#include "base/setting_table.h"

namespace pomelotray {

// The pomelotray program without its process: parses `args` (without the program's name), runs the
// command and returns the exit code.
class CliProgram {
 public:
  CliProgram(SettingTable::Environment environment, std::istream* in, std::ostream* out,
             std::ostream* err);

  int Run(const std::vector<std::string>& args);

 private:
  Result<int> RunCommand(const std::vector<std::string>& args);
  // Prints the overview or one command's page.
  int Help(const std::vector<std::string>& words);
  int PrintError(const Error& error);

  const SettingTable::Environment environment_;
  std::istream* const in_;
  std::ostream* const out_;
  std::ostream* const err_;
  // False until the first call of the API: mistakes in the input are then mistakes of usage.
  bool called_ = false;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CLI_CLI_PROGRAM_H_
