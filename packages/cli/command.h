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

// What a command works with.
struct CommandContext {
  const ApiClient* client = nullptr;
  const Clock* clock = nullptr;
  // Print JSON instead of tables.
  bool json = false;
  std::istream* in = nullptr;
  std::ostream* out = nullptr;
  std::ostream* err = nullptr;
};

// One command of the program; its usage is help/<name>.txt.
class Command {
 public:
  virtual ~Command() = default;
  // Returns the exit code; errors are printed by the caller.
  virtual Result<int> Run(const Arguments& args, const CommandContext& context) = 0;
};

// The command of this name, or null.
std::unique_ptr<Command> MakeCommand(const std::string& name);

// Reads a whole file, or standard input when `path` is "-".
Result<std::string> ReadInput(const std::string& path, const CommandContext& context);
// Prints indented JSON.
void PrintJson(const nlohmann::json& json, const CommandContext& context);
// Prints a job as JSON or as lines of "name: value".
void PrintJob(const nlohmann::json& job, const CommandContext& context);

}  // namespace pomelotray

#endif  // POMELOTRAY_CLI_COMMAND_H_
