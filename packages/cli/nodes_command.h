#ifndef POMELOTRAY_CLI_NODES_COMMAND_H_
#define POMELOTRAY_CLI_NODES_COMMAND_H_

#include "cli/command.h"

namespace pomelotray {

// Lists the instances with their state and owned shards.
class NodesCommand : public Command {
 public:
  Result<int> Run(const Arguments& args, const CommandContext& context) override;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CLI_NODES_COMMAND_H_
