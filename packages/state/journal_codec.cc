#include "state/journal_codec.h"

#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "base/json_number.h"
#include "model/field_reader.h"
#include "state/packed_reader.h"

namespace pomelotray {
namespace {

// First element of every batch, manifest and snapshot part. Decoding fails for other versions.
constexpr int64_t kFormatVersion = 1;
enum class RecordKind { kJobUpsert, kTaskUpdate, kJobRemoval };
constexpr size_t kHexDigitsOfJob = 32;
// Limits of decoded numbers. They are far beyond any meaningful value, and counting up from them
// does not overflow.
constexpr int64_t kMaxTerm = kMaxExactInteger;
constexpr int64_t kMaxBatchNumber = kMaxExactInteger;
constexpr int64_t kMaxParts = 1'000'000;

boost::leaf::error_id MalformedValueError(const char* what) {
  return Fail(
      ErrorKind::kInternal,
      absl::StrCat("A stored ", what,
                   " is malformed or was written by a different release; run the same release "
                   "on all instances."));
}

std::string JobPrefix(const ShardId& shard) {
  return absl::StrCat(shard.domain.value(), ".", shard.pool.value(), ".");
}

bool IsLowerHex(const std::string& text) {
  return text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

// Encodes a job id as the 16 bytes of its hash, or as the whole id if it has a different form.
nlohmann::json PackJobId(const ShardId& shard, const JobId& job) {
  const std::string prefix = JobPrefix(shard);
  if (absl::StartsWith(job.value(), prefix)) {
    const std::string hash = job.value().substr(prefix.size());
    if (hash.size() == kHexDigitsOfJob && IsLowerHex(hash)) {
      return PackBytes(absl::HexStringToBytes(hash));
    }
  }
  return job.value();
}

JobId ReadJobId(const ShardId& shard, PackedReader* reader) {
  if (reader->NextIsText()) {
    return JobId(reader->Text());
  }
  return JobId(JobPrefix(shard) + absl::BytesToHexString(reader->Bytes()));
}

// Encodes a task id as the index of the task within its job, or as the whole id if it has a
// different form.
nlohmann::json PackTaskId(const JobId& job, const TaskId& task) {
  const std::string prefix = job.value() + "/";
  if (absl::StartsWith(task.value(), prefix)) {
    int64_t index = 0;
    if (absl::SimpleAtoi(task.value().substr(prefix.size()), &index) &&
        MakeTaskId(job, index) == task) {
      return index;
    }
  }
  return task.value();
}

nlohmann::json PackTask(const JobId& job, const TaskStatus& status) {
  nlohmann::json packed = {PackTaskId(job, status.task), static_cast<int64_t>(status.state),
                           status.attempt_number};
  if (!status.worker.empty() || !status.boot.empty() || !status.result.empty()) {
    packed.push_back(status.worker.value());
    packed.push_back(status.boot.value());
    packed.push_back(PackBytes(status.result));
  }
  return packed;
}

TaskStatus ReadTask(const JobId& job, const nlohmann::json& packed, bool* ok) {
  PackedReader reader(packed);
  TaskStatus status;
  if (reader.NextIsText()) {
    status.task = TaskId(reader.Text());
  } else {
    status.task = MakeTaskId(job, reader.Integer());
  }
  status.state = reader.Enumerator(TaskState::kUnknown);
  status.attempt_number = reader.Integer(0, kMaxJsonCount);
  if (reader.ok() && !reader.Complete()) {
    status.worker = WorkerId(reader.Text());
    status.boot = BootId(reader.Text());
    status.result = reader.Bytes();
  }
  *ok = *ok && reader.Complete();
  return status;
}

nlohmann::json PackSpec(const JobSpec& spec) {
  return {spec.customer.value(),
          spec.key.value(),
          static_cast<int64_t>(spec.kind),
          spec.pool.value(),
          spec.task_count,
          spec.demand.cpu.value(),
          spec.demand.memory.value(),
          spec.demand.accelerators.value(),
          spec.demand.slots.value(),
          static_cast<int64_t>(spec.priority),
          spec.repeatable,
          PackTime(spec.deadline),
          PackDuration(spec.expected_run),
          PackBytes(spec.payload)};
}

JobSpec ReadSpec(const nlohmann::json& packed, bool* ok) {
  PackedReader reader(packed);
  JobSpec spec;
  spec.customer = CustomerId(reader.Text());
  spec.key = IdempotencyKey(reader.Text());
  spec.kind = reader.Enumerator(JobKind::kService);
  spec.pool = PoolName(reader.Text());
  spec.task_count = reader.Integer(0, kMaxTasksPerJob);
  spec.demand.cpu = MilliCores(reader.Integer(0, kMaxAmount));
  spec.demand.memory = MebiBytes(reader.Integer(0, kMaxAmount));
  spec.demand.accelerators = AcceleratorCount(reader.Integer(0, kMaxAmount));
  spec.demand.slots = SlotCount(reader.Integer(0, kMaxAmount));
  spec.priority = reader.Enumerator(Priority::kUrgent);
  spec.repeatable = reader.Bool();
  spec.deadline = reader.OptionalTime();
  spec.expected_run = reader.Duration(kMaxDuration);
  spec.payload = reader.Bytes();
  *ok = *ok && reader.Complete();
  return spec;
}

nlohmann::json PackRecord(const ShardId& shard, const JobUpsert& record) {
  const JobRecord& job = record.job;
  nlohmann::json tasks = nlohmann::json::array();
  for (const TaskStatus& task : job.tasks) {
    tasks.push_back(PackTask(job.id, task));
  }
  return {static_cast<int64_t>(RecordKind::kJobUpsert),
          PackJobId(shard, job.id),
          PackSpec(job.spec),
          static_cast<int64_t>(job.state),
          job.reason,
          std::move(tasks),
          PackTime(job.accepted_at),
          PackTime(job.started_at),
          PackTime(job.finished_at)};
}

nlohmann::json PackRecord(const ShardId& shard, const TaskUpdate& record) {
  return {static_cast<int64_t>(RecordKind::kTaskUpdate),
          PackJobId(shard, record.job),
          PackTask(record.job, record.status),
          static_cast<int64_t>(record.job_state),
          record.reason,
          PackTime(record.started_at),
          PackTime(record.finished_at)};
}

nlohmann::json PackRecord(const ShardId& shard, const JobRemoval& record) {
  return {static_cast<int64_t>(RecordKind::kJobRemoval), PackJobId(shard, record.job)};
}

JournalRecord ReadUpsert(const ShardId& shard, PackedReader* reader, bool* ok) {
  JobUpsert record;
  JobRecord& job = record.job;
  job.id = ReadJobId(shard, reader);
  job.spec = ReadSpec(reader->Array(), ok);
  job.state = reader->Enumerator(JobState::kUnknown);
  job.reason = reader->Text();
  for (const nlohmann::json& task : reader->Array()) {
    job.tasks.push_back(ReadTask(job.id, task, ok));
  }
  job.accepted_at = reader->Time();
  job.started_at = reader->OptionalTime();
  job.finished_at = reader->OptionalTime();
  return record;
}

JournalRecord ReadUpdate(const ShardId& shard, PackedReader* reader, bool* ok) {
  TaskUpdate record;
  record.job = ReadJobId(shard, reader);
  record.status = ReadTask(record.job, reader->Array(), ok);
  record.job_state = reader->Enumerator(JobState::kUnknown);
  record.reason = reader->Text();
  record.started_at = reader->OptionalTime();
  record.finished_at = reader->OptionalTime();
  return record;
}

nlohmann::json PackRecords(const std::vector<std::string>& records) {
  nlohmann::json packed = nlohmann::json::array();
  for (const std::string& record : records) {
    packed.push_back(PackBytes(record));
  }
  return packed;
}

std::vector<std::string> ReadRecords(PackedReader* reader) {
  const nlohmann::json& packed = reader->Array();
  PackedReader elements(packed);
  std::vector<std::string> records;
  for (size_t i = 0; i < packed.size(); ++i) {
    records.push_back(elements.Bytes());
  }
  return records;
}

bool ReadVersion(PackedReader* reader) { return reader->Integer() == kFormatVersion; }

}  // namespace

std::string EncodeRecord(const ShardId& shard, const JournalRecord& record) {
  return ToPackedBytes(
      std::visit([&shard](const auto& kind) { return PackRecord(shard, kind); }, record));
}

Result<JournalRecord> DecodeRecord(const ShardId& shard, const std::string& bytes) {
  const nlohmann::json packed = FromPackedBytes(bytes);
  PackedReader reader(packed);
  const RecordKind kind = reader.Enumerator(RecordKind::kJobRemoval);
  bool ok = true;
  JournalRecord record;
  if (kind == RecordKind::kJobUpsert) {
    record = ReadUpsert(shard, &reader, &ok);
  } else if (kind == RecordKind::kTaskUpdate) {
    record = ReadUpdate(shard, &reader, &ok);
  } else {
    record = JobRemoval{ReadJobId(shard, &reader)};
  }
  if (!ok || !reader.Complete()) {
    return MalformedValueError("journal record");
  }
  return record;
}

std::string EncodeBatch(const JournalBatch& batch) {
  return ToPackedBytes({kFormatVersion, batch.term, batch.owner.value(), batch.number, batch.nonce,
                        PackRecords(batch.records)});
}

Result<JournalBatch> DecodeBatch(const std::string& bytes) {
  const nlohmann::json packed = FromPackedBytes(bytes);
  PackedReader reader(packed);
  const bool known = ReadVersion(&reader);
  JournalBatch batch;
  batch.term = reader.Integer(0, kMaxTerm);
  batch.owner = InstanceId(reader.Text());
  batch.number = reader.Integer(0, kMaxBatchNumber);
  batch.nonce = reader.Unsigned();
  batch.records = ReadRecords(&reader);
  if (!known || !reader.Complete()) {
    return MalformedValueError("journal batch");
  }
  return batch;
}

std::string EncodeManifest(const SnapshotManifest& manifest) {
  return ToPackedBytes({kFormatVersion, manifest.term, manifest.owner.value(), manifest.covered,
                        manifest.generation, manifest.part_count, manifest.snapshot_nonce,
                        manifest.write_nonce});
}

Result<SnapshotManifest> DecodeManifest(const std::string& bytes) {
  const nlohmann::json packed = FromPackedBytes(bytes);
  PackedReader reader(packed);
  const bool known = ReadVersion(&reader);
  SnapshotManifest manifest;
  manifest.term = reader.Integer(0, kMaxTerm);
  manifest.owner = InstanceId(reader.Text());
  manifest.covered = reader.Integer(0, kMaxBatchNumber);
  manifest.generation = reader.Integer(0, 1);
  manifest.part_count = reader.Integer(0, kMaxParts);
  manifest.snapshot_nonce = reader.Unsigned();
  manifest.write_nonce = reader.Unsigned();
  if (!known || !reader.Complete()) {
    return MalformedValueError("snapshot manifest");
  }
  return manifest;
}

std::string EncodePart(const SnapshotPart& part) {
  return ToPackedBytes({kFormatVersion, part.term, part.snapshot_nonce, PackRecords(part.records)});
}

Result<SnapshotPart> DecodePart(const std::string& bytes) {
  const nlohmann::json packed = FromPackedBytes(bytes);
  PackedReader reader(packed);
  const bool known = ReadVersion(&reader);
  SnapshotPart part;
  part.term = reader.Integer(0, kMaxTerm);
  part.snapshot_nonce = reader.Unsigned();
  part.records = ReadRecords(&reader);
  if (!known || !reader.Complete()) {
    return MalformedValueError("snapshot part");
  }
  return part;
}

}  // namespace pomelotray
