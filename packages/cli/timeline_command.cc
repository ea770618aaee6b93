#include "cli/timeline_command.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "base/event.h"
#include "cli/json_view.h"
#include "cli/table.h"
#include "model/field_reader.h"

namespace pomelotray {
namespace {

// Hybrid time keeps a counter in its lower 16 bits.
constexpr int kCounterBits = 16;

bool HappensBefore(const Event& a, const Event& b) {
  return std::tie(a.time, a.process, a.sequence) < std::tie(b.time, b.process, b.sequence);
}

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
  BOOST_LEAF_AUTO(answer, context.client->GetJson(TimelineTarget(args)));
  std::vector<Event> events;
  for (const nlohmann::json& json : JsonList(answer, "/events")) {
    Event event;
    if (ParseEvent(json, &event)) {
      events.push_back(event);
    }
  }
  std::sort(events.begin(), events.end(), HappensBefore);
  if (context.json) {
    PrintJson({{"events", events}}, context);
    return kExitDone;
  }
  Table table({"TIME", "PROCESS", "CODE", "EVENT", "FIELDS"});
  for (const Event& event : events) {
    const absl::Time time = absl::FromUnixMicros(event.time.value() >> kCounterBits);
    table.AddRow({TimeToText(time), event.process, absl::StrCat(static_cast<int>(event.code)),
                  std::string(DescribeEvent(event.code).name), FieldsText(event)});
  }
  table.Print(*context.out);
  return kExitDone;
}

}  // namespace pomelotray
