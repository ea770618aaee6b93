#ifndef POMELOTRAY_CLI_JOBS_COMMAND_H_
#define POMELOTRAY_CLI_JOBS_COMMAND_H_

#include "cli/command.h"

namespace pomelotray {

// Lists the live jobs, optionally of one customer.
class JobsCommand : public Command {
 public:
  Result<int> Run(const Arguments& args, const CommandContext& context) override;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CLI_JOBS_COMMAND_H_
