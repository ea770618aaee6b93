#include "cli/cancel_command.h"

namespace pomelotray {

Result<int> CancelCommand::Run(const Arguments& args, const CommandContext& context) {
  ApiCall call;
  call.method = "POST";
  call.target = "/v1/jobs/" + EscapeUrl(*args.Text("<job>")) + "/cancel";
  BOOST_LEAF_AUTO(job, context.client->CallJson(call));
  PrintJob(job, context);
  return kExitSuccess;
}

}  // namespace pomelotray
