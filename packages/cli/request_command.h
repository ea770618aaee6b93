#ifndef POMELOTRAY_CLI_REQUEST_COMMAND_H_
#define POMELOTRAY_CLI_REQUEST_COMMAND_H_

#include "cli/command.h"

namespace pomelotray {

// Sends an interactive request and prints the body of the response.
class RequestCommand : public Command {
 public:
  Result<int> Run(const Arguments& args, const CommandContext& context) override;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CLI_REQUEST_COMMAND_H_
