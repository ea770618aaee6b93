#include "cell/records/job_record.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "absl/strings/ascii.h"
#include "base/decode_json.h"
#include "base/json_number.h"
#include "base/socket_address.h"
#include "cell/records/number_limits.h"
#include "cell/records/record_json.h"

namespace pomelotray {
namespace {

using nlohmann::json;

// Bounds the memory and time that a stored job takes. Above the limits of all versions that
// accepted jobs.
constexpr WorkflowLimits kStoredLimits = {1'000'000, 256, 65'536};
// Longest adviser time in microseconds, 100 years.
constexpr int64_t kMaxMicros = kMaxJsonMillis * 1000;

json EncodeResources(const Resources& r) {
  return json::array({r.cpu.value(), r.memory.value(), r.accelerators.value()});
}

Resources DecodeResources(const json& value) {
  Resources r;
  r.cpu = MilliCores(IntegerFromJson(value.at(0), 0, kMaxJsonCount));
  r.memory = MebiBytes(IntegerFromJson(value.at(1), 0, kMaxJsonCount));
  r.accelerators = AcceleratorCount(IntegerFromJson(value.at(2), 0, kMaxJsonCount));
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
  step.task_count = IntFromJson(value.at("count"));
  step.demand = DecodeResources(value.at("demand"));
  step.estimate = MillisFromJson(value.at("estimate_ms"));
  for (const json& earlier : OptionalArray(value, "after")) {
    step.after.push_back(IntFromJson(earlier));
  }
  step.gang = value.value("gang", false);
  step.same_rack = value.value("same_rack", false);
  step.checkpoints = value.value("checkpoints", false);
  step.speculative = value.value("speculative", false);
  step.long_running = value.value("long_running", false);
  step.best_effort = value.value("fills", false);
  step.required_label = value.value("label", "");
  step.preferred_rack = value.value("rack", "");
  step.image = value.value("image", "");
  step.max_per_worker = static_cast<int>(OptionalInteger(value, "max_per_worker", kMaxJsonCount));
  step.disruption_budget =
      static_cast<int>(OptionalInteger(value, "disruption_budget", kMaxJsonCount));
  step.latency_target = OptionalMillis(value, "latency_ms");
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
  policy.priority = IntFromJson(value.at("priority"));
  policy.max_attempts = IntFromJson(value.at("max_attempts"));
  // Products of durations and any factor saturate.
  policy.stretch = value.at("stretch").get<double>();
  policy.target_latency = MillisFromJson(value.at("target_ms"));
  if (value.contains("advice")) {
    const json& advice = value.at("advice");
    policy.advice = AdvicePolicy{absl::Microseconds(IntegerFromJson(advice.at(0), 0, kMaxMicros)),
                                 absl::Microseconds(IntegerFromJson(advice.at(1), 0, kMaxMicros)),
                                 absl::Microseconds(IntegerFromJson(advice.at(2), 0, kMaxMicros))};
  }
  return policy;
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
  const std::optional<SocketAddress> address = SocketAddress::Parse(worker.address);
  if (!address.has_value() || address->port == 0) {
    ThrowUnreadable("the address of a worker is not of the form ip:port", value);
  }
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
  for (const json& row : OptionalArray(value, field)) {
    keys.push_back(AttemptKey{row.at(0).get<std::string>(), RunNumberFromJson(row.at(1))});
  }
  return keys;
}

JobIntake DecodeIntakeFields(const json& value) {
  JobIntake intake;
  intake.policy = DecodePolicy(value.at("queue"));
  intake.accepted = UnixMillisFromJson(value.at("accepted_ms"));
  intake.customer = CustomerId(value.value("customer", ""));
  intake.spec.payload = value.at("payload").get<std::string>();
  for (const json& step : RequiredArray(value, "steps")) {
    intake.spec.steps.push_back(DecodeStep(step));
  }
  intake.spec.occurrences = static_cast<int>(OptionalInteger(value, "occurrences", kMaxJsonCount));
  if (value.contains("first_due_ms")) {
    intake.spec.first_due = UnixMillisFromJson(value.at("first_due_ms"));
  }
  intake.spec.interval = OptionalMillis(value, "interval_ms");
  return intake;
}

}  // namespace

std::string EncodeIntake(const JobIntake& intake) {
  json steps = json::array();
  for (const StepSpec& step : intake.spec.steps) {
    steps.push_back(EncodeStep(step));
  }
  json value = {{"queue", EncodePolicy(intake.policy)},
                {"accepted_ms", absl::ToUnixMillis(intake.accepted)},
                {"payload", intake.spec.payload},
                {"steps", std::move(steps)}};
  if (!intake.customer.value().empty()) {
    value["customer"] = intake.customer.value();
  }
  if (intake.spec.occurrences > 0) {
    value["occurrences"] = intake.spec.occurrences;
    value["first_due_ms"] = absl::ToUnixMillis(intake.spec.first_due);
    value["interval_ms"] = absl::ToInt64Milliseconds(intake.spec.interval);
  }
  return value.dump();
}

bool IsStorableJobId(const JobId& id) {
  constexpr size_t kMaxLength = 64;
  const std::string& text = id.value();
  return !text.empty() && text.size() <= kMaxLength &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return absl::ascii_isalnum(c) || c == '-' || c == '_';
         });
}

Result<JobIntake> DecodeIntake(const JobId& id, const std::string& text) {
  if (!IsStorableJobId(id)) {
    return Fail(ErrorKind::kInternal,
                "The key of a stored job does not end in a job ID; check which program wrote it.");
  }
  BOOST_LEAF_AUTO(intake, DecodeJson(text, StoredSubject("stored job"), DecodeIntakeFields));
  intake.id = id;
  BOOST_LEAF_CHECK(ValidateWorkflow(intake.spec, kStoredLimits));
  return intake;
}

Result<CustomerId> DecodeIntakeCustomer(const std::string& text) {
  return DecodeJson(text, StoredSubject("stored job"),
                    [](const json& value) { return CustomerId(value.value("customer", "")); });
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
    if (entry.lease_left.has_value()) {
      row["lease_left_ms"] =
          absl::ToInt64Milliseconds(absl::Ceil(*entry.lease_left, absl::Milliseconds(1)));
    }
    if (entry.unreachable_for > absl::ZeroDuration()) {
      row["unreachable_ms"] = absl::ToInt64Milliseconds(entry.unreachable_for);
    }
    if (!entry.stopping.empty()) {
      row["stopping"] = EncodeAttemptKeys(entry.stopping);
    }
    if (!entry.unconfirmed.empty()) {
      row["unconfirmed"] = EncodeAttemptKeys(entry.unconfirmed);
    }
    list.push_back(std::move(row));
  }
  return list.dump();
}

std::string EncodeRosterWithoutTimes(std::vector<RosterEntry> roster) {
  for (RosterEntry& entry : roster) {
    entry.unreachable_for = absl::ZeroDuration();
    if (entry.lease_left.has_value()) {
      entry.lease_left = absl::ZeroDuration();
    }
  }
  return EncodeRoster(roster);
}

Result<std::vector<RosterEntry>> DecodeRoster(const std::string& text) {
  return DecodeJson(text, StoredSubject("stored roster"), [](const json& value) {
    if (!value.is_array()) {
      ThrowUnreadable("the roster is not an array", value);
    }
    std::vector<RosterEntry> roster;
    for (const json& row : value) {
      RosterEntry entry;
      entry.worker = DecodeWorker(row);
      entry.unreachable = row.contains("frozen");
      entry.handover_term = OptionalInteger(row, "handed_over_by", kMaxTerm);
      entry.attempts = DecodeAttemptKeys(row, entry.unreachable ? "frozen" : "attempts");
      if (row.contains("lease_left_ms")) {
        entry.lease_left = MillisFromJson(row.at("lease_left_ms"));
      }
      entry.unreachable_for = OptionalMillis(row, "unreachable_ms");
      entry.stopping = DecodeAttemptKeys(row, "stopping");
      entry.unconfirmed = DecodeAttemptKeys(row, "unconfirmed");
      roster.push_back(std::move(entry));
    }
    return roster;
  });
}

}  // namespace pomelotray
