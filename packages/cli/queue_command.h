#ifndef POMELOTRAY_CLI_QUEUE_COMMAND_H_
#define POMELOTRAY_CLI_QUEUE_COMMAND_H_

#include "cli/command.h"

namespace pomelotray {

// Lists the queued jobs, oldest first.
class QueueCommand : public Command {
 public:
  Result<int> Run(const Arguments& args, const CommandContext& context) override;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CLI_QUEUE_COMMAND_H_
