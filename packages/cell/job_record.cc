#include "cell/job_record.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/decode_json.h"

namespace pomelotray {
namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 5> kStateNames = {"queued", "running", "completed", "failed",
                                                         "cancelled"};

json EncodeResources(const Resources& r) {
  return json::array({r.cpu.value(), r.memory.value(), r.accelerators.value()});
}

Resources DecodeResources(const json& value) {
  Resources r;
  r.cpu = MilliCores(value.at(0).get<int64_t>());
  r.memory = MebiBytes(value.at(1).get<int64_t>());
  r.accelerators = AcceleratorCount(value.at(2).get<int64_t>());
  return r;
}

json EncodeStep(const StepSpec& step) {
  json value = {{"count", step.task_count},
                {"demand", EncodeResources(step.demand)},
                {"estimate_ms", absl::ToInt64Milliseconds(step.estimate)}};
  const auto set = [&value](const char* name, const auto& field, bool present) {
    if (present) {
      value[name] = field;
    }
  };
  set("after", step.after, !step.after.empty());
  set("gang", true, step.gang);
  set("same_rack", true, step.same_rack);
  set("checkpoints", true, step.checkpoints);
  set("speculative", true, step.speculative);
  set("long_running", true, step.long_running);
  set("fills", true, step.best_effort);
  set("label", step.required_label, !step.required_label.empty());
  set("rack", step.preferred_rack, !step.preferred_rack.empty());
  set("image", step.image, !step.image.empty());
  set("max_per_worker", step.max_per_worker, step.max_per_worker > 0);
  set("disruption_budget", step.disruption_budget, step.disruption_budget > 0);
  set("latency_ms", absl::ToInt64Milliseconds(step.latency_target),
      step.latency_target > absl::ZeroDuration());
  return value;
}

StepSpec DecodeStep(const json& value) {
  StepSpec step;
  step.task_count = value.at("count").get<int>();
  step.demand = DecodeResources(value.at("demand"));
  step.estimate = absl::Milliseconds(value.at("estimate_ms").get<int64_t>());
  step.after = value.value("after", std::vector<int>());
  step.gang = value.value("gang", false);
  step.same_rack = value.value("same_rack", false);
  step.checkpoints = value.value("checkpoints", false);
  step.speculative = value.value("speculative", false);
  step.long_running = value.value("long_running", false);
  step.best_effort = value.value("fills", false);
  step.required_label = value.value("label", "");
  step.preferred_rack = value.value("rack", "");
  step.image = value.value("image", "");
  step.max_per_worker = value.value("max_per_worker", 0);
  step.disruption_budget = value.value("disruption_budget", 0);
  step.latency_target = absl::Milliseconds(value.value("latency_ms", int64_t{0}));
  return step;
}

json EncodePolicy(const QueuePolicy& policy) {
  json value = {{"name", policy.name},
                {"pool", policy.pool.value()},
                {"priority", policy.priority},
                {"max_attempts", policy.max_attempts},
                {"stretch", policy.stretch},
                {"target_ms", absl::ToInt64Milliseconds(policy.target_latency)}};
  if (policy.advice.has_value()) {
    value["advice"] = json::array({absl::ToInt64Microseconds(policy.advice->base),
                                   absl::ToInt64Microseconds(policy.advice->per_worker),
                                   absl::ToInt64Microseconds(policy.advice->validity)});
  }
  return value;
}

QueuePolicy DecodePolicy(const json& value) {
  QueuePolicy policy;
  policy.name = value.at("name").get<std::string>();
  policy.pool = PoolName(value.at("pool").get<std::string>());
  policy.priority = value.at("priority").get<int>();
  policy.max_attempts = value.at("max_attempts").get<int>();
  policy.stretch = value.at("stretch").get<double>();
  policy.target_latency = absl::Milliseconds(value.at("target_ms").get<int64_t>());
  if (value.contains("advice")) {
    const json& advice = value.at("advice");
    policy.advice = AdvicePolicy{absl::Microseconds(advice.at(0).get<int64_t>()),
                                 absl::Microseconds(advice.at(1).get<int64_t>()),
                                 absl::Microseconds(advice.at(2).get<int64_t>())};
  }
  return policy;
}

DecodeSubject StoredSubject(const char* what) {
  return {ErrorKind::kInternal, what, "check which program wrote this entry of the store"};
}

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
    runs.insert(RunNumber(run.get<int64_t>()));
  }
  return runs;
}

// A row is [attempt number, run time in ms or -1 if it is unknown, alone, started last].
json EncodeLosses(const WorkerLossHistory& losses) {
  json rows = json::array();
  for (const LostAttempt& attempt : losses.attempts()) {
    const int64_t ran_ms = attempt.ran_for < absl::InfiniteDuration()
                               ? absl::ToInt64Milliseconds(attempt.ran_for)
                               : -1;
    rows.push_back(json::array({attempt.run.value(), ran_ms, attempt.alone, attempt.started_last}));
  }
  return rows;
}

WorkerLossHistory DecodeLosses(const json& rows) {
  WorkerLossHistory losses;
  for (const json& row : rows) {
    LostAttempt attempt;
    attempt.run = RunNumber(row.at(0).get<int64_t>());
    const int64_t ran_ms = row.at(1).get<int64_t>();
    attempt.ran_for = ran_ms < 0 ? absl::InfiniteDuration() : absl::Milliseconds(ran_ms);
    attempt.alone = row.at(2).get<bool>();
    attempt.started_last = row.at(3).get<bool>();
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
    if (!task.failed_runs.empty() || !task.losses.empty() || !task.checkpoint.empty()) {
      return true;
    }
  }
  return false;
}

void ApplyStepRun(const json& value, CellJob* job) {
  StepRun& run = job->runs.at(value.at("run").get<size_t>());
  const std::string done = value.at("done").get<std::string>();
  for (size_t i = 0; i < run.tasks.size() && i < done.size(); ++i) {
    if (done[i] == '1') {
      run.tasks[i].phase = TaskPhase::kSucceeded;
      ++run.succeeded;
      --run.waiting;
    }
  }
  const json failures = value.value("failures", json::object());
  for (auto it = failures.begin(); it != failures.end(); ++it) {
    run.tasks.at(std::stoul(it.key())).failed_runs = DecodeRunNumbers(it.value());
  }
  const json losses = value.value("worker_losses", json::object());
  for (auto it = losses.begin(); it != losses.end(); ++it) {
    run.tasks.at(std::stoul(it.key())).losses = DecodeLosses(it.value());
  }
  const json checkpoints = value.value("checkpoints", json::object());
  for (auto it = checkpoints.begin(); it != checkpoints.end(); ++it) {
    run.tasks.at(std::stoul(it.key())).checkpoint = it.value().get<std::string>();
  }
  if (value.contains("gang_failures")) {
    run.gang_failed_runs = DecodeRunNumbers(value.at("gang_failures"));
  }
}

CellJobState DecodeState(const json& value) {
  const std::string name = value.at("state").get<std::string>();
  for (size_t i = 0; i < kStateNames.size(); ++i) {
    if (kStateNames[i] == name) {
      return static_cast<CellJobState>(i);
    }
  }
  return CellJobState::kQueued;
}

json EncodeWorker(const WorkerDescription& worker) {
  return {{"id", worker.id.value()},     {"address", worker.address},
          {"pool", worker.pool.value()}, {"domain", worker.domain.value()},
          {"labels", worker.labels},     {"capacity", EncodeResources(worker.capacity)}};
}

WorkerDescription DecodeWorker(const json& value) {
  WorkerDescription worker;
  worker.id = WorkerId(value.at("id").get<std::string>());
  worker.address = value.at("address").get<std::string>();
  worker.pool = PoolName(value.at("pool").get<std::string>());
  worker.domain = FailureDomainId(value.at("domain").get<std::string>());
  worker.labels = value.at("labels").get<std::vector<std::string>>();
  worker.capacity = DecodeResources(value.at("capacity"));
  return worker;
}

json EncodeAttemptKeys(const std::vector<AttemptKey>& keys) {
  json rows = json::array();
  for (const AttemptKey& key : keys) {
    rows.push_back(json::array({key.task, key.run.value()}));
  }
  return rows;
}

// Returns an empty list if `value` has no field `field`.
std::vector<AttemptKey> DecodeAttemptKeys(const json& value, const char* field) {
  std::vector<AttemptKey> keys;
  for (const json& row : value.value(field, json::array())) {
    keys.push_back(AttemptKey{row.at(0).get<std::string>(), RunNumber(row.at(1).get<int64_t>())});
  }
  return keys;
}

}  // namespace

std::string_view CellJobStateName(CellJobState state) {
  return kStateNames[static_cast<size_t>(state)];
}

std::string EncodeIntake(const JobIntake& intake) {
  json steps = json::array();
  for (const StepSpec& step : intake.spec.steps) {
    steps.push_back(EncodeStep(step));
  }
  json value = {{"queue", EncodePolicy(intake.policy)},
                {"accepted_ms", absl::ToUnixMillis(intake.accepted)},
                {"payload", intake.spec.payload},
                {"steps", std::move(steps)}};
  if (intake.spec.occurrences > 0) {
    value["occurrences"] = intake.spec.occurrences;
    value["first_due_ms"] = absl::ToUnixMillis(intake.spec.first_due);
    value["interval_ms"] = absl::ToInt64Milliseconds(intake.spec.interval);
  }
  return value.dump();
}

Result<JobIntake> DecodeIntake(const JobId& id, const std::string& text) {
  return DecodeJson(text, StoredSubject("stored job"), [&id](const json& value) {
    JobIntake intake;
    intake.id = id;
    intake.policy = DecodePolicy(value.at("queue"));
    intake.accepted = absl::FromUnixMillis(value.at("accepted_ms").get<int64_t>());
    intake.spec.payload = value.at("payload").get<std::string>();
    for (const json& step : value.at("steps")) {
      intake.spec.steps.push_back(DecodeStep(step));
    }
    intake.spec.occurrences = value.value("occurrences", 0);
    intake.spec.first_due = absl::FromUnixMillis(value.value("first_due_ms", int64_t{0}));
    intake.spec.interval = absl::Milliseconds(value.value("interval_ms", int64_t{0}));
    return intake;
  });
}

std::string EncodeProgress(const CellJob& job) {
  json value = {{"state", CellJobStateName(job.state)}};
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
  BOOST_LEAF_CHECK(DecodeJson(text, StoredSubject("stored progress"), [job](const json& value) {
    job->state = DecodeState(value);
    job->visible = job->state;
    if (IsFinal(job->state)) {
      job->runs.clear();
      return true;
    }
    for (const json& run : value.at("runs")) {
      ApplyStepRun(run, job);
    }
    return true;
  }));
  return {};
}

Result<CellJobState> DecodeProgressState(const std::string& text) {
  return DecodeJson(text, StoredSubject("stored progress"),
                    [](const json& value) { return DecodeState(value); });
}

Result<JobIntake> DecodeInheritedIntake(const JobId& id, const std::string& text,
                                        const std::string& progress) {
  if (!progress.empty()) {
    BOOST_LEAF_AUTO(state, DecodeProgressState(progress));
    if (IsFinal(state)) {
      JobIntake finished;
      finished.id = id;
      return finished;
    }
  }
  return DecodeIntake(id, text);
}

std::string EncodeRoster(const std::vector<RosterEntry>& roster) {
  json list = json::array();
  for (const RosterEntry& entry : roster) {
    json row = EncodeWorker(entry.worker);
    if (entry.unreachable) {
      row["frozen"] = EncodeAttemptKeys(entry.attempts);
    } else if (entry.handover_term > 0) {
      row["handed_over_by"] = entry.handover_term;
      row["attempts"] = EncodeAttemptKeys(entry.attempts);
    }
    if (!entry.stopping.empty()) {
      row["stopping"] = EncodeAttemptKeys(entry.stopping);
    }
    list.push_back(std::move(row));
  }
  return list.dump();
}

Result<std::vector<RosterEntry>> DecodeRoster(const std::string& text) {
  return DecodeJson(text, StoredSubject("stored roster"), [](const json& value) {
    std::vector<RosterEntry> roster;
    for (const json& row : value) {
      RosterEntry entry;
      entry.worker = DecodeWorker(row);
      entry.unreachable = row.contains("frozen");
      entry.handover_term = row.value("handed_over_by", int64_t{0});
      entry.attempts = DecodeAttemptKeys(row, entry.unreachable ? "frozen" : "attempts");
      entry.stopping = DecodeAttemptKeys(row, "stopping");
      roster.push_back(std::move(entry));
    }
    return roster;
  });
}

}  // namespace pomelotray
