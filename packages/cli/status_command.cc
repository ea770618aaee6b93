#include "cli/status_command.h"

namespace pomelotray {

Result<int> StatusCommand::Run(const Arguments& args, const CommandContext& context) {
  BOOST_LEAF_AUTO(job, context.client->GetJson("/v1/jobs/" + EscapeUrl(*args.Text("<job>"))));
  PrintJob(job, context);
  return kExitSuccess;
}

}  // namespace pomelotray
