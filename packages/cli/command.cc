#include "cli/command.h"

#include <fstream>
#include <map>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "base/json_text.h"
#include "cli/cancel_command.h"
#include "cli/contract_command.h"
#include "cli/drain_command.h"
#include "cli/jobs_command.h"
#include "cli/json_view.h"
#include "cli/nodes_command.h"
#include "cli/queue_command.h"
#include "cli/request_command.h"
#include "cli/status_command.h"
#include "cli/submit_command.h"
#include "cli/timeline_command.h"
#include "cli/wait_command.h"
#include "cli/workers_command.h"

namespace pomelotray {
namespace {

// Exceeds the largest request body that the API accepts.
constexpr size_t kMaxInputBytes = 2 * 1024 * 1024;

// Formats the number of tasks per state, such as "2 running, 1 queued".
std::string CountStates(const nlohmann::json& tasks) {
  std::map<std::string, int> counts;
  for (const nlohmann::json& task : tasks) {
    ++counts[JsonText(task, "/state")];
  }
  std::vector<std::string> parts;
  parts.reserve(counts.size());
  for (const auto& [state, count] : counts) {
    parts.push_back(absl::StrCat(count, " ", state));
  }
  return parts.empty() ? "-" : absl::StrJoin(parts, ", ");
}

}  // namespace

std::unique_ptr<Command> MakeCommand(const std::string& name) {
  if (name == "submit") {
    return std::make_unique<SubmitCommand>();
  }
  if (name == "status") {
    return std::make_unique<StatusCommand>();
  }
  if (name == "cancel") {
    return std::make_unique<CancelCommand>();
  }
  if (name == "wait") {
    return std::make_unique<WaitCommand>();
  }
  if (name == "jobs") {
    return std::make_unique<JobsCommand>();
  }
  if (name == "request") {
    return std::make_unique<RequestCommand>();
  }
  if (name == "contract") {
    return std::make_unique<ContractCommand>();
  }
  if (name == "nodes") {
    return std::make_unique<NodesCommand>();
  }
  if (name == "workers") {
    return std::make_unique<WorkersCommand>();
  }
  if (name == "queue") {
    return std::make_unique<QueueCommand>();
  }
  if (name == "drain") {
    return std::make_unique<DrainCommand>();
  }
  if (name == "timeline") {
    return std::make_unique<TimelineCommand>();
  }
  return nullptr;
}

Result<std::string> ReadInput(const std::string& path, const CommandContext& context) {
  std::ifstream file;
  if (path != "-") {
    file.open(path, std::ios::binary);
    if (!file) {
      return Fail(
          ErrorKind::kInvalidArgument,
          absl::StrCat("File \"", path, "\" cannot be read; check its name and permissions."));
    }
  }
  std::istream& in = path == "-" ? *context.in : file;
  std::string text(kMaxInputBytes, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<size_t>(in.gcount()));
  return text;
}

void PrintJson(const nlohmann::json& json, const CommandContext& context) {
  *context.out << DumpJson(json, 2) << "\n";
}

void PrintJob(const nlohmann::json& job, const CommandContext& context) {
  if (context.json) {
    PrintJson(job, context);
    return;
  }
  *context.out << "job:       " << JsonText(job, "/id") << "\n"
               << "customer:  " << JsonText(job, "/spec/customer") << "\n"
               << "kind:      " << JsonText(job, "/spec/kind") << "\n"
               << "state:     " << JsonText(job, "/state") << "\n"
               << "reason:    " << JsonText(job, "/reason") << "\n"
               << "tasks:     " << CountStates(JsonList(job, "/tasks")) << "\n"
               << "accepted:  " << JsonText(job, "/accepted_at") << "\n"
               << "started:   " << JsonText(job, "/started_at") << "\n"
               << "finished:  " << JsonText(job, "/finished_at") << "\n"
               << "deadline:  " << JsonText(job, "/spec/deadline") << "\n";
}

}  // namespace pomelotray
