#ifndef POMELOTRAY_CLI_COMMAND_H_
#define POMELOTRAY_CLI_COMMAND_H_

#include <istream>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "base/clock.h"
#include "cli/api_client.h"
#include "cli/arguments.h"
#include "cli/exit_code.h"

namespace pomelotray {

// Dependencies and output options of a command.
struct CommandContext {
  const ApiClient* client = nullptr;
  const Clock* clock = nullptr;
  // Whether to print JSON instead of tables.
  bool json = false;
  std::istream* in = nullptr;
  std::ostream* out = nullptr;
  std::ostream* err = nullptr;
};

// A command of the program. Its usage is defined in help/<name>.txt.
class Command {
 public:
  virtual ~Command() = default;
  // Returns the exit code; errors are printed by the caller.
  virtual Result<int> Run(const Arguments& args, const CommandContext& context) = 0;
};

// Creates the command with this name, or returns null if there is none.
std::unique_ptr<Command> MakeCommand(const std::string& name);

// Reads the file at `path`, or standard input if `path` is "-", up to 2 MiB.
Result<std::string> ReadInput(const std::string& path, const CommandContext& context);
// Prints indented JSON.
void PrintJson(const nlohmann::json& json, const CommandContext& context);
// Prints a job as JSON or as lines of "name: value".
void PrintJob(const nlohmann::json& job, const CommandContext& context);

}  // namespace pomelotray

#endif  // POMELOTRAY_CLI_COMMAND_H_
