// The part of job_record.h that converts the progress of jobs.

#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/decode_json.h"
#include "base/json_number.h"
#include "cell/records/job_record.h"
#include "cell/records/number_limits.h"
#include "cell/records/record_json.h"

namespace pomelotray {
namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 5> kStateNames = {"queued", "running", "completed", "failed",
                                                         "cancelled"};

json EncodeRunNumbers(const std::set<RunNumber>& runs) {
  json list = json::array();
  for (const RunNumber run : runs) {
    list.push_back(run.value());
  }
  return list;
}

std::set<RunNumber> DecodeRunNumbers(const json& list) {
  std::set<RunNumber> runs;
  for (const json& run : list) {
    runs.insert(RunNumberFromJson(run));
  }
  return runs;
}

// A row is [attempt number, run time in ms or -1 if it is unknown, alone, started last, in a wave,
// started apart].
json EncodeLosses(const WorkerLossHistory& losses) {
  json rows = json::array();
  for (const LostAttempt& attempt : losses.attempts()) {
    const int64_t ran_ms = attempt.ran_for < absl::InfiniteDuration()
                               ? absl::ToInt64Milliseconds(attempt.ran_for)
                               : -1;
    rows.push_back(json::array({attempt.run.value(), ran_ms, attempt.alone, attempt.started_last,
                                attempt.in_wave, attempt.started_apart}));
  }
  return rows;
}

WorkerLossHistory DecodeLosses(const json& rows) {
  WorkerLossHistory losses;
  for (const json& row : rows) {
    LostAttempt attempt;
    attempt.run = RunNumberFromJson(row.at(0));
    const int64_t ran_ms = IntegerFromJson(row.at(1), -1, kMaxJsonMillis);
    attempt.ran_for = ran_ms < 0 ? absl::InfiniteDuration() : absl::Milliseconds(ran_ms);
    attempt.alone = row.at(2).get<bool>();
    attempt.started_last = row.at(3).get<bool>();
    // Earlier versions stored no more.
    if (row.size() > 4) {
      attempt.in_wave = row.at(4).get<bool>();
      attempt.started_apart = row.at(5).get<bool>();
    }
    losses.Add(attempt);
  }
  return losses;
}

// Encodes the results of one step run. Failures are stored as the numbers of the failed attempts.
json EncodeStepRun(size_t index, const StepRun& run) {
  std::string done;
  json failures = json::object();
  json losses = json::object();
  json checkpoints = json::object();
  json waits = json::object();
  for (size_t i = 0; i < run.tasks.size(); ++i) {
    const CellTask& task = run.tasks[i];
    done.push_back(task.phase == TaskPhase::kSucceeded ? '1' : '0');
    if (!task.failed_runs.empty()) {
      failures[std::to_string(i)] = EncodeRunNumbers(task.failed_runs);
    }
    if (!task.losses.empty() && task.phase != TaskPhase::kSucceeded) {
      losses[std::to_string(i)] = EncodeLosses(task.losses);
    }
    if (!task.checkpoint.empty() && task.phase != TaskPhase::kSucceeded) {
      checkpoints[std::to_string(i)] = task.checkpoint;
    }
    if (task.wait_stored) {
      waits[std::to_string(i)] = absl::ToUnixMillis(task.waiting_since);
    }
  }
  json value = {{"run", index}, {"done", std::move(done)}};
  if (!failures.empty()) {
    value["failures"] = std::move(failures);
  }
  if (!losses.empty()) {
    value["worker_losses"] = std::move(losses);
  }
  if (!checkpoints.empty()) {
    value["checkpoints"] = std::move(checkpoints);
  }
  if (!waits.empty()) {
    value["waiting_since_ms"] = std::move(waits);
  }
  if (!run.gang_failed_runs.empty()) {
    value["gang_failures"] = EncodeRunNumbers(run.gang_failed_runs);
  }
  return value;
}

bool HasResults(const StepRun& run) {
  if (run.succeeded > 0 || !run.gang_failed_runs.empty()) {
    return true;
  }
  for (const CellTask& task : run.tasks) {
    if (!task.failed_runs.empty() || !task.losses.empty() || !task.checkpoint.empty() ||
        task.wait_stored) {
      return true;
    }
  }
  return false;
}

// The stored results of one step run.
struct StepRunRecord {
  size_t run = 0;
  // For each task, whether it has succeeded.
  std::vector<bool> done;
  std::map<size_t, std::set<RunNumber>> failures;
  std::map<size_t, WorkerLossHistory> losses;
  std::map<size_t, std::string> checkpoints;
  std::map<size_t, absl::Time> waiting_since;
  std::set<RunNumber> gang_failures;
};

// Calls `add` with the index and the value of each task in the optional field `field`.
template <typename F>
void ForEachTask(const json& value, const char* field, size_t task_count, F add) {
  const json tasks = value.value(field, json::object());
  for (auto it = tasks.begin(); it != tasks.end(); ++it) {
    uint64_t task = 0;
    if (!absl::SimpleAtoi(it.key(), &task) || task >= task_count) {
      ThrowUnreadable(absl::StrCat(field, " names a task that does not exist"), value);
    }
    add(static_cast<size_t>(task), it.value());
  }
}

std::vector<bool> DecodeDone(const json& value, size_t task_count) {
  const std::string text = value.at("done").get<std::string>();
  if (text.size() > task_count || text.find_first_not_of("01") != std::string::npos) {
    ThrowUnreadable("\"done\" does not fit the tasks of the step", value);
  }
  std::vector<bool> done;
  for (const char c : text) {
    done.push_back(c == '1');
  }
  return done;
}

StepRunRecord DecodeStepRun(const json& value, const WorkflowSpec& spec) {
  const size_t run_count = spec.steps.size() * static_cast<size_t>(std::max(spec.occurrences, 1));
  StepRunRecord record;
  record.run =
      static_cast<size_t>(IntegerFromJson(value.at("run"), 0, static_cast<int64_t>(run_count) - 1));
  const size_t task_count =
      static_cast<size_t>(spec.steps[record.run % spec.steps.size()].task_count);
  record.done = DecodeDone(value, task_count);
  ForEachTask(value, "failures", task_count, [&record](size_t task, const json& runs) {
    record.failures[task] = DecodeRunNumbers(runs);
  });
  ForEachTask(value, "worker_losses", task_count, [&record](size_t task, const json& rows) {
    record.losses[task] = DecodeLosses(rows);
  });
  ForEachTask(value, "checkpoints", task_count, [&record](size_t task, const json& checkpoint) {
    record.checkpoints[task] = checkpoint.get<std::string>();
  });
  ForEachTask(value, "waiting_since_ms", task_count, [&record](size_t task, const json& since) {
    record.waiting_since[task] = UnixMillisFromJson(since);
  });
  record.gang_failures = DecodeRunNumbers(OptionalArray(value, "gang_failures"));
  return record;
}

void ApplyCheckpoints(const std::map<size_t, std::string>& checkpoints, const StepSpec& step,
                      StepRun* run) {
  for (const auto& [task, checkpoint] : checkpoints) {
    run->tasks[task].checkpoint = checkpoint;
  }
  // Earlier versions stored one checkpoint for each task of a gang, although all tasks must start
  // with the same one.
  for (size_t i = 0; step.gang && !checkpoints.empty() && i < run->tasks.size(); ++i) {
    run->tasks[i].checkpoint = checkpoints.begin()->second;
  }
}

void ApplyStepRun(StepRunRecord record, const StepSpec& step, StepRun* run) {
  // Earlier versions recorded a long-running task as succeeded when it ended without a failure.
  for (size_t i = 0; i < record.done.size() && !step.long_running; ++i) {
    if (record.done[i] && run->tasks[i].phase != TaskPhase::kSucceeded) {
      run->tasks[i].phase = TaskPhase::kSucceeded;
      ++run->succeeded;
      --run->waiting;
    }
  }
  for (auto& [task, failures] : record.failures) {
    run->tasks[task].failed_runs = std::move(failures);
  }
  for (auto& [task, losses] : record.losses) {
    run->tasks[task].losses = std::move(losses);
  }
  for (const auto& [task, since] : record.waiting_since) {
    run->tasks[task].waiting_since = since;
    run->tasks[task].wait_stored = true;
  }
  ApplyCheckpoints(record.checkpoints, step, run);
  run->gang_failed_runs = std::move(record.gang_failures);
}

CellJobState DecodeState(const json& value) {
  const std::string name = value.at("state").get<std::string>();
  for (size_t i = 0; i < kStateNames.size(); ++i) {
    if (kStateNames[i] == name) {
      return static_cast<CellJobState>(i);
    }
  }
  ThrowUnreadable("the state is unknown", value);
}

// Decoded progress of a job. Jobs in a final state have no runs.
struct ProgressContents {
  CellJobState state = CellJobState::kQueued;
  std::vector<StepRunRecord> runs;
};

Result<ProgressContents> DecodeProgress(const std::string& text, const WorkflowSpec& spec) {
  return DecodeJson(text, StoredSubject("stored progress"), [&spec](const json& value) {
    ProgressContents progress;
    progress.state = DecodeState(value);
    if (!IsFinal(progress.state)) {
      for (const json& run : RequiredArray(value, "runs")) {
        progress.runs.push_back(DecodeStepRun(run, spec));
      }
    }
    return progress;
  });
}

}  // namespace

std::string_view CellJobStateName(CellJobState state) {
  return kStateNames[static_cast<size_t>(state)];
}

std::string EncodeProgress(const CellJob& job) {
  json value = {{"state", CellJobStateName(job.state)}};
  // The intake entry is removed with the final state, so the customer is stored here as well.
  if (!job.intake.customer.empty()) {
    value["customer"] = job.intake.customer.value();
  }
  if (!IsFinal(job.state)) {
    json runs = json::array();
    for (size_t i = 0; i < job.runs.size(); ++i) {
      if (HasResults(job.runs[i])) {
        runs.push_back(EncodeStepRun(i, job.runs[i]));
      }
    }
    value["runs"] = std::move(runs);
  }
  return value.dump();
}

Result<void> ApplyProgress(const std::string& text, CellJob* job) {
  BOOST_LEAF_AUTO(progress, DecodeProgress(text, job->intake.spec));
  job->state = progress.state;
  job->visible = progress.state;
  job->begun_in_store = progress.state != CellJobState::kQueued;
  if (IsFinal(progress.state)) {
    job->runs.clear();
  }
  for (StepRunRecord& record : progress.runs) {
    StepRun* const run = &job->runs[record.run];
    ApplyStepRun(std::move(record), job->Step(*run), run);
  }
  return {};
}

Result<JobStatus> DecodeJobStatus(const std::string& text) {
  return DecodeJson(text, StoredSubject("stored progress"), [](const json& value) {
    return JobStatus{DecodeState(value), CustomerId(value.value("customer", ""))};
  });
}

Result<JobIntake> DecodeInheritedIntake(const JobId& id, const std::string& text,
                                        const std::string& progress) {
  if (!progress.empty()) {
    BOOST_LEAF_AUTO(status, DecodeJobStatus(progress));
    if (IsFinal(status.state)) {
      JobIntake finished;
      finished.id = id;
      finished.customer = status.customer;
      return finished;
    }
  }
  BOOST_LEAF_AUTO(intake, DecodeIntake(id, text));
  if (!progress.empty()) {
    BOOST_LEAF_CHECK(DecodeProgress(progress, intake.spec));
  }
  return intake;
}

}  // namespace pomelotray
