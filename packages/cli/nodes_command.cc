#include "cli/nodes_command.h"

#include <string>
#include <vector>

#include "absl/strings/str_join.h"
#include "cli/json_view.h"
#include "cli/table.h"

namespace pomelotray {

Result<int> NodesCommand::Run(const Arguments& /*args*/, const CommandContext& context) {
  BOOST_LEAF_AUTO(response, context.client->GetJson("/v1/instances"));
  if (context.json) {
    PrintJson(response, context);
    return kExitSuccess;
  }
  Table table({"INSTANCE", "REGION", "DOMAIN", "STATE", "ADDRESS", "REVISION", "SHARDS"});
  for (const nlohmann::json& instance : JsonList(response, "/instances")) {
    std::vector<std::string> shards;
    for (const nlohmann::json& shard : JsonList(instance, "/owned_shards")) {
      shards.push_back(JsonText(shard, ""));
    }
    table.AddRow({JsonText(instance, "/id"), JsonText(instance, "/region"),
                  JsonText(instance, "/domain"), JsonText(instance, "/state"),
                  JsonText(instance, "/address"), JsonText(instance, "/configuration_revision"),
                  shards.empty() ? "-" : absl::StrJoin(shards, ",")});
  }
  table.Print(*context.out);
  return kExitSuccess;
}

}  // namespace pomelotray
