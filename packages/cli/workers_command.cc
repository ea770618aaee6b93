#include "cli/workers_command.h"

#include <string>

#include "cli/json_view.h"
#include "cli/table.h"

namespace pomelotray {
namespace {

// Formats the usage of a resource as "<reserved>/<capacity>".
std::string FormatUsage(const nlohmann::json& worker, const std::string& resource) {
  return JsonText(worker, "/reserved/" + resource) + "/" +
         JsonText(worker, "/capacity/" + resource);
}

}  // namespace

Result<int> WorkersCommand::Run(const Arguments& /*args*/, const CommandContext& context) {
  BOOST_LEAF_AUTO(response, context.client->GetJson("/v1/workers"));
  if (context.json) {
    PrintJson(response, context);
    return kExitSuccess;
  }
  Table table(
      {"WORKER", "SHARD", "RACK", "STATE", "CPU_M", "MEMORY_MIB", "ACCELERATORS", "RUNNING"});
  for (const nlohmann::json& worker : JsonList(response, "/workers")) {
    table.AddRow({JsonText(worker, "/id"), JsonText(worker, "/shard"), JsonText(worker, "/rack"),
                  JsonText(worker, "/state"), FormatUsage(worker, "cpu_millicores"),
                  FormatUsage(worker, "memory_mib"), FormatUsage(worker, "accelerators"),
                  JsonText(worker, "/running_attempts")});
  }
  table.Print(*context.out);
  return kExitSuccess;
}

}  // namespace pomelotray
