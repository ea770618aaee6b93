#include "cli/drain_command.h"

#include "cli/json_view.h"

namespace pomelotray {

Result<int> DrainCommand::Run(const Arguments& args, const CommandContext& context) {
  ApiCall call;
  call.method = "POST";
  call.target = "/v1/vms/" + EscapeUrl(*args.Text("<vm>")) + "/drain";
  BOOST_LEAF_AUTO(response, context.client->CallJson(call));
  if (context.json) {
    PrintJson(response, context);
  } else {
    *context.out << "VM " << JsonText(response, "/vm") << " gets no new work.\n";
  }
  return kExitSuccess;
}

}  // namespace pomelotray
