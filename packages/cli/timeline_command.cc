#include "cli/timeline_command.h"

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "base/event.h"
#include "cli/json_view.h"
#include "cli/table.h"
#include "history/merge_timelines.h"
#include "model/field_reader.h"

namespace pomelotray {
namespace {

std::string FieldsText(const Event& event) {
  std::vector<std::string> parts;
  for (const auto& [name, value] : event.fields) {
    parts.push_back(absl::StrCat(name, "=", Printable(value)));
  }
  return absl::StrJoin(parts, " ");
}

std::string TimelineTarget(const Arguments& args) {
  std::string target = "/v1/timeline?all=1";
  for (const char* field : {"job", "task", "request", "worker", "customer", "shard"}) {
    const std::optional<std::string> value = args.Text(absl::StrCat("--", field));
    if (value.has_value()) {
      absl::StrAppend(&target, "&", field, "=", EscapeUrl(*value));
    }
  }
  return target;
}

}  // namespace

Result<int> TimelineCommand::Run(const Arguments& args, const CommandContext& context) {
  BOOST_LEAF_AUTO(response, context.client->GetJson(TimelineTarget(args)));
  std::vector<Event> events;
  for (const nlohmann::json& json : JsonList(response, "/events")) {
    Event event;
    if (ParseEvent(json, &event)) {
      events.push_back(event);
    }
  }
  events = MergeTimelines({events});
  if (context.json) {
    PrintJson({{"events", events}}, context);
    return kExitSuccess;
  }
  Table table({"TIME", "PROCESS", "CODE", "EVENT", "FIELDS"});
  for (const Event& event : events) {
    table.AddRow({TimeToText(WallTime(event.time)), event.process,
                  absl::StrCat(static_cast<int>(event.code)),
                  std::string(DescribeEvent(event.code).name), FieldsText(event)});
  }
  table.Print(*context.out);
  return kExitSuccess;
}

}  // namespace pomelotray
