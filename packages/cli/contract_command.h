#ifndef POMELOTRAY_CLI_CONTRACT_COMMAND_H_
#define POMELOTRAY_CLI_CONTRACT_COMMAND_H_

#include "cli/command.h"

namespace pomelotray {

// Shows, lists, compares and updates contracts.
class ContractCommand : public Command {
 public:
  Result<int> Run(const Arguments& args, const CommandContext& context) override;

 private:
  static Result<int> Get(const Arguments& args, const CommandContext& context);
  static Result<int> List(const CommandContext& context);
  static Result<int> Apply(const Arguments& args, const CommandContext& context);
  static Result<int> Amend(const Arguments& args, const CommandContext& context);
  static Result<int> Diff(const Arguments& args, const CommandContext& context);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CLI_CONTRACT_COMMAND_H_
