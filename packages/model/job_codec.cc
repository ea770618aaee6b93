#include "model/job_codec.h"

#include "absl/strings/str_cat.h"
#include "base/json_text.h"
#include "model/field_reader.h"
#include "model/identifier.h"

namespace pomelotray {
namespace {

// Whatever a task id and an attempt number can hold.
constexpr int64_t kMaxAttempts = 1'000'000'000;
constexpr char kStateRemedy[] = "use a documented state name";

Result<void> CheckObject(const nlohmann::json& json, const char* subject) {
  if (!json.is_object()) {
    return Fail(ErrorKind::kInvalidArgument,
                absl::StrCat("The ", subject, " is ", FieldReader::Show(json),
                             "; send a JSON object with the documented fields."));
  }
  return {};
}

void CheckKind(const JobSpec& spec, FieldReader* reader) {
  if (spec.kind == JobKind::kGang && spec.task_count < 2) {
    reader->AddFault("task_count", nlohmann::json(spec.task_count),
                     "a gang starts at least 2 tasks together; use kind \"batch\" for one task");
  }
  if (spec.kind == JobKind::kService && !spec.repeatable) {
    reader->AddFault("repeatable", nlohmann::json(false),
                     "a service is started again after failures; set it to true");
  }
  if (spec.kind == JobKind::kService && spec.deadline.has_value()) {
    reader->AddFault("deadline", nlohmann::json(TimeToText(*spec.deadline)),
                     "a service has no deadline; remove it");
  }
}

void CheckDemand(const JobSpec& spec, FieldReader* reader) {
  if (spec.demand.slots.value() > 0) {
    reader->AddFault("demand.slots", nlohmann::json(spec.demand.slots.value()),
                     "only interactive requests use slots; set it to 0");
  }
  if (spec.demand.IsZero()) {
    reader->AddProblem("demand", "is zero", "ask for cpu, memory or accelerators");
  }
}

void CheckKeyAndPayload(const JobSpec& spec, FieldReader* reader) {
  if (!IsIdempotencyKey(spec.key.value())) {
    reader->AddFault("key", nlohmann::json(spec.key.value()),
                     "use 1 to 128 printable ASCII characters");
  }
  if (static_cast<int64_t>(spec.payload.size()) > kMaxPayloadBytes) {
    reader->AddProblem(
        "payload", absl::StrCat("has ", spec.payload.size(), " bytes"),
        absl::StrCat("use at most ", kMaxPayloadBytes, " bytes and pass larger data by reference"));
  }
}

JobSpec ReadSpec(const nlohmann::json& json, const std::string& path, FaultList* faults) {
  FieldReader reader(json, path, faults);
  JobSpec spec;
  spec.customer = CustomerId(reader.Identifier("customer"));
  spec.key = IdempotencyKey(reader.Text("key"));
  spec.kind = reader.Choice<JobKind>("kind", &ParseJobKind, R"(use "batch", "gang" or "service")");
  spec.pool = PoolName(reader.Identifier("pool"));
  spec.task_count = reader.Integer("task_count", 1, kMaxTasksPerJob, 1);
  spec.demand = reader.Amounts("demand");
  spec.priority = reader.Choice<Priority>("priority", &ParsePriority, R"(use "normal" or "urgent")",
                                          Priority::kNormal);
  spec.repeatable = reader.Boolean("repeatable", true);
  spec.deadline = reader.OptionalTime("deadline");
  spec.expected_run =
      reader.Milliseconds("expected_run_ms", absl::ZeroDuration(), absl::ZeroDuration());
  spec.payload = reader.Text("payload", "");
  CheckKind(spec, &reader);
  CheckDemand(spec, &reader);
  CheckKeyAndPayload(spec, &reader);
  reader.Finish();
  return spec;
}

TaskStatus ReadTask(const nlohmann::json& json, const std::string& path, FaultList* faults) {
  FieldReader reader(json, path, faults);
  TaskStatus task;
  task.task = TaskId(reader.Text("task"));
  if (task.task.empty()) {
    reader.AddProblem("task", "is empty", "use \"<job>/<index>\"");
  }
  task.state = reader.Choice<TaskState>("state", &ParseTaskState, kStateRemedy);
  task.attempt_number = reader.Integer("attempt_number", 0, kMaxAttempts, 0);
  task.worker = WorkerId(reader.Text("worker", ""));
  task.boot = BootId(reader.Text("boot", ""));
  task.result = reader.Text("result", "");
  reader.Finish();
  return task;
}

void ReadTasks(const nlohmann::json& array, FaultList* faults, std::vector<TaskStatus>* tasks) {
  if (static_cast<int64_t>(array.size()) > kMaxTasksPerJob) {
    faults->Add("tasks", absl::StrCat("has ", array.size(), " entries"),
                absl::StrCat("use at most ", kMaxTasksPerJob));
    return;
  }
  for (size_t i = 0; i < array.size(); ++i) {
    const std::string name = absl::StrCat("tasks[", i, "]");
    if (!array[i].is_object()) {
      faults->Add(name, absl::StrCat("is ", FieldReader::Show(array[i])), "use an object");
    } else {
      tasks->push_back(ReadTask(array[i], name + ".", faults));
    }
  }
}

// Results are bytes from a worker. Bytes that are not UTF-8 are replaced, as in the API's answers,
// because no reader of the record accepts them.
nlohmann::json ResultToJson(const std::string& result) {
  return IsUtf8(result) ? nlohmann::json(result) : nlohmann::json::parse(DumpJson(result));
}

nlohmann::json OptionalTimeToJson(const std::optional<absl::Time>& time) {
  return time.has_value() ? nlohmann::json(TimeToText(*time)) : nlohmann::json(nullptr);
}

}  // namespace

nlohmann::json JobSpecToJson(const JobSpec& spec) {
  return {{"customer", spec.customer.value()},
          {"key", spec.key.value()},
          {"kind", JobKindName(spec.kind)},
          {"pool", spec.pool.value()},
          {"task_count", spec.task_count},
          {"demand", ResourcesToJson(spec.demand)},
          {"priority", PriorityName(spec.priority)},
          {"repeatable", spec.repeatable},
          {"deadline", OptionalTimeToJson(spec.deadline)},
          {"expected_run_ms", absl::ToInt64Milliseconds(spec.expected_run)},
          {"payload", spec.payload}};
}

nlohmann::json TaskStatusToJson(const TaskStatus& task) {
  return {{"task", task.task.value()},
          {"state", TaskStateName(task.state)},
          {"attempt_number", task.attempt_number},
          {"worker", task.worker.value()},
          {"boot", task.boot.value()},
          {"result", ResultToJson(task.result)}};
}

nlohmann::json JobRecordToJson(const JobRecord& record) {
  nlohmann::json tasks = nlohmann::json::array();
  for (const TaskStatus& task : record.tasks) {
    tasks.push_back(TaskStatusToJson(task));
  }
  return {{"id", record.id.value()},
          {"spec", JobSpecToJson(record.spec)},
          {"state", JobStateName(record.state)},
          {"reason", record.reason},
          {"tasks", std::move(tasks)},
          {"accepted_at", TimeToText(record.accepted_at)},
          {"started_at", OptionalTimeToJson(record.started_at)},
          {"finished_at", OptionalTimeToJson(record.finished_at)}};
}

Result<JobSpec> JobSpecFromJson(const nlohmann::json& json) {
  BOOST_LEAF_CHECK(CheckObject(json, "job"));
  FaultList faults;
  JobSpec spec = ReadSpec(json, "", &faults);
  BOOST_LEAF_CHECK(faults.Check("job"));
  return spec;
}

Result<TaskStatus> TaskStatusFromJson(const nlohmann::json& json) {
  BOOST_LEAF_CHECK(CheckObject(json, "task status"));
  FaultList faults;
  TaskStatus task = ReadTask(json, "", &faults);
  BOOST_LEAF_CHECK(faults.Check("task status"));
  return task;
}

Result<JobRecord> JobRecordFromJson(const nlohmann::json& json) {
  BOOST_LEAF_CHECK(CheckObject(json, "job record"));
  FaultList faults;
  FieldReader reader(json, "", &faults);
  JobRecord record;
  record.id = JobId(reader.Text("id"));
  if (record.id.empty()) {
    reader.AddProblem("id", "is empty", "use the id that the submission returned");
  }
  if (const nlohmann::json* spec = reader.Object("spec"); spec != nullptr) {
    record.spec = ReadSpec(*spec, "spec.", &faults);
  }
  record.state = reader.Choice<JobState>("state", &ParseJobState, kStateRemedy);
  record.reason = reader.Text("reason", "");
  if (const nlohmann::json* tasks = reader.Array("tasks"); tasks != nullptr) {
    ReadTasks(*tasks, &faults, &record.tasks);
  }
  record.accepted_at = reader.Time("accepted_at");
  record.started_at = reader.OptionalTime("started_at");
  record.finished_at = reader.OptionalTime("finished_at");
  reader.Finish();
  BOOST_LEAF_CHECK(faults.Check("job record"));
  return record;
}

}  // namespace pomelotray
