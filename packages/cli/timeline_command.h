#ifndef POMELOTRAY_CLI_TIMELINE_COMMAND_H_
#define POMELOTRAY_CLI_TIMELINE_COMMAND_H_

#include "cli/command.h"

namespace pomelotray {

// Shows the events of all instances, merged in time order.
class TimelineCommand : public Command {
 public:
  Result<int> Run(const Arguments& args, const CommandContext& context) override;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CLI_TIMELINE_COMMAND_H_
