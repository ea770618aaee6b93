#ifndef POMELOTRAY_MODEL_JOB_CODEC_H_
#define POMELOTRAY_MODEL_JOB_CODEC_H_

#include <nlohmann/json.hpp>

#include "base/error.h"
#include "model/job.h"

namespace pomelotray {

// JSON form of jobs, used by the HTTP API, between instances and in the journal. Times are RFC 3339
// strings. Durations are whole milliseconds in fields ending in "_ms".
nlohmann::json JobSpecToJson(const JobSpec& spec);
nlohmann::json JobRecordToJson(const JobRecord& record);
nlohmann::json TaskStatusToJson(const TaskStatus& task);

// Each lists all faults in one kInvalidArgument error: unknown fields, missing fields, wrong types,
// values out of range.
Result<JobSpec> JobSpecFromJson(const nlohmann::json& json);
Result<JobRecord> JobRecordFromJson(const nlohmann::json& json);
Result<TaskStatus> TaskStatusFromJson(const nlohmann::json& json);

}  // namespace pomelotray

#endif  // POMELOTRAY_MODEL_JOB_CODEC_H_
