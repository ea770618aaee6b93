#include "cli/jobs_command.h"

#include "cli/json_view.h"
#include "cli/table.h"

namespace pomelotray {

Result<int> JobsCommand::Run(const Arguments& args, const CommandContext& context) {
  const std::optional<std::string> customer = args.Text("--customer");
  BOOST_LEAF_AUTO(response, context.client->GetJson(customer.has_value() ? "/v1/jobs?customer=" +
                                                                               EscapeUrl(*customer)
                                                                         : "/v1/jobs"));
  if (context.json) {
    PrintJson(response, context);
    return kExitSuccess;
  }
  Table table({"JOB", "CUSTOMER", "KIND", "STATE", "TASKS", "REASON"});
  for (const nlohmann::json& job : JsonList(response, "/jobs")) {
    table.AddRow({JsonText(job, "/id"), JsonText(job, "/spec/customer"),
                  JsonText(job, "/spec/kind"), JsonText(job, "/state"),
                  JsonText(job, "/spec/task_count"), JsonText(job, "/reason")});
  }
  table.Print(*context.out);
  return kExitSuccess;
}

}  // namespace pomelotray
