#ifndef POMELOTRAY_CLI_SUBMIT_COMMAND_H_
#define POMELOTRAY_CLI_SUBMIT_COMMAND_H_

#include "cli/command.h"

namespace pomelotray {

// Submits a job described by options or by a JSON file.
class SubmitCommand : public Command {
 public:
  Result<int> Run(const Arguments& args, const CommandContext& context) override;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CLI_SUBMIT_COMMAND_H_
