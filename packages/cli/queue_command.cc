#include "cli/queue_command.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "cli/json_view.h"
#include "cli/table.h"

namespace pomelotray {

Result<int> QueueCommand::Run(const Arguments& args, const CommandContext& context) {
  const std::optional<std::string> customer = args.Text("--customer");
  BOOST_LEAF_AUTO(response, context.client->GetJson(customer.has_value() ? "/v1/jobs?customer=" +
                                                                               EscapeUrl(*customer)
                                                                         : "/v1/jobs"));
  std::vector<nlohmann::json> queued_jobs;
  for (const nlohmann::json& job : JsonList(response, "/jobs")) {
    if (JsonText(job, "/state") == "queued") {
      queued_jobs.push_back(job);
    }
  }
  std::sort(queued_jobs.begin(), queued_jobs.end(),
            [](const nlohmann::json& a, const nlohmann::json& b) {
              return std::make_pair(JsonText(a, "/accepted_at"), JsonText(a, "/id")) <
                     std::make_pair(JsonText(b, "/accepted_at"), JsonText(b, "/id"));
            });
  if (context.json) {
    PrintJson({{"jobs", queued_jobs}}, context);
    return kExitSuccess;
  }
  Table table({"ACCEPTED", "JOB", "CUSTOMER", "PRIORITY", "REASON"});
  for (const nlohmann::json& job : queued_jobs) {
    table.AddRow({JsonText(job, "/accepted_at"), JsonText(job, "/id"),
                  JsonText(job, "/spec/customer"), JsonText(job, "/spec/priority"),
                  JsonText(job, "/reason")});
  }
  table.Print(*context.out);
  return kExitSuccess;
}

}  // namespace pomelotray
