#include "cli/workers_command.h"

#include <string>

#include "cli/json_view.h"
#include "cli/table.h"

namespace pomelotray {
namespace {

// "reserved/capacity" of one resource.
std::string Use(const nlohmann::json& worker, const std::string& resource) {
  return JsonText(worker, "/reserved/" + resource) + "/" +
         JsonText(worker, "/capacity/" + resource);
}

}  // namespace

Result<int> WorkersCommand::Run(const Arguments& /*args*/, const CommandContext& context) {
  BOOST_LEAF_AUTO(answer, context.client->GetJson("/v1/workers"));
  if (context.json) {
    PrintJson(answer, context);
    return kExitDone;
  }
  Table table(
      {"WORKER", "SHARD", "RACK", "STATE", "CPU_M", "MEMORY_MIB", "ACCELERATORS", "RUNNING"});
  for (const nlohmann::json& worker : JsonList(answer, "/workers")) {
    table.AddRow({JsonText(worker, "/id"), JsonText(worker, "/shard"), JsonText(worker, "/rack"),
                  JsonText(worker, "/state"), Use(worker, "cpu_millicores"),
                  Use(worker, "memory_mib"), Use(worker, "accelerators"),
                  JsonText(worker, "/running_attempts")});
  }
  table.Print(*context.out);
  return kExitDone;
}

}  // namespace pomelotray
