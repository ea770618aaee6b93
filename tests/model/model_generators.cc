#include "tests/model/model_generators.h"

#include "model/field_reader.h"

namespace pomelotray {
namespace {

rc::Gen<Resources> GenResources(bool slots) {
  return rc::gen::exec([slots] {
    Resources r;
    r.cpu = MilliCores(*rc::gen::inRange<int64_t>(1, kMaxAmount + 1));
    r.memory = MebiBytes(*rc::gen::inRange<int64_t>(0, kMaxAmount + 1));
    r.accelerators = AcceleratorCount(*rc::gen::inRange<int64_t>(0, 1000));
    r.slots = SlotCount(slots ? *rc::gen::inRange<int64_t>(0, 1000) : 0);
    return r;
  });
}

absl::Time RandomTime() {
  return absl::FromUnixSeconds(*rc::gen::inRange<int64_t>(0, 253'402'300'800)) +
         absl::Nanoseconds(*rc::gen::inRange<int64_t>(0, 1'000'000'000));
}

std::optional<absl::Time> RandomOptionalTime() {
  return *rc::gen::arbitrary<bool>() ? std::optional<absl::Time>(RandomTime()) : std::nullopt;
}

// Text with quotes, control characters and characters of two to four UTF-8 bytes.
std::string RandomText() {
  const std::vector<std::string> parts = *rc::gen::container<std::vector<std::string>>(
      rc::gen::element<std::string>("a", "\"", "\\", "\n", std::string(1, '\0'), "\xC3\xB1",
                                    "\xE2\x82\xAC", "\xF0\x9F\x8D\x8A"));
  std::string text;
  for (const std::string& part : parts) {
    text += part;
  }
  return text;
}

}  // namespace

rc::Gen<std::string> GenIdentifier() {
  return rc::gen::exec([] {
    const int length = *rc::gen::inRange(1, 65);
    return *rc::gen::container<std::string>(
        length,
        rc::gen::oneOf(rc::gen::inRange<char>('a', 'z' + 1), rc::gen::inRange<char>('A', 'Z' + 1),
                       rc::gen::inRange<char>('0', '9' + 1), rc::gen::element('-', '_')));
  });
}

rc::Gen<JobSpec> GenJobSpec() {
  return rc::gen::exec([] {
    JobSpec spec;
    spec.customer = CustomerId(*GenIdentifier());
    spec.key = IdempotencyKey(*rc::gen::container<std::string>(
        *rc::gen::inRange(1, 129), rc::gen::inRange<char>(' ', '~' + 1)));
    spec.kind = *rc::gen::element(JobKind::kBatch, JobKind::kGang, JobKind::kService);
    spec.pool = PoolName(*GenIdentifier());
    spec.task_count =
        *rc::gen::inRange<int64_t>(spec.kind == JobKind::kGang ? 2 : 1, kMaxTasksPerJob + 1);
    spec.demand = *GenResources(false);
    spec.priority = *rc::gen::element(Priority::kNormal, Priority::kUrgent);
    spec.repeatable = spec.kind == JobKind::kService || *rc::gen::arbitrary<bool>();
    if (spec.kind != JobKind::kService) {
      spec.deadline = RandomOptionalTime();
    }
    spec.expected_run = absl::Milliseconds(*rc::gen::inRange<int64_t>(0, 1'000'000'000));
    spec.payload = RandomText();
    return spec;
  });
}

rc::Gen<JobRecord> GenJobRecord() {
  return rc::gen::exec([] {
    JobRecord record;
    record.spec = *GenJobSpec();
    record.id = MakeJobId(ShardId{FailureDomainId(*GenIdentifier()), record.spec.pool},
                          record.spec.customer, record.spec.key);
    record.state = *rc::gen::element(JobState::kQueued, JobState::kRunning, JobState::kSucceeded,
                                     JobState::kFailed, JobState::kCancelled, JobState::kExpired,
                                     JobState::kUnknown);
    record.reason = RandomText();
    const int tasks = *rc::gen::inRange(0, 4);
    for (int i = 0; i < tasks; ++i) {
      TaskStatus task;
      task.task = MakeTaskId(record.id, i);
      task.state = *rc::gen::element(TaskState::kQueued, TaskState::kStarting, TaskState::kRunning,
                                     TaskState::kSucceeded, TaskState::kFailed,
                                     TaskState::kCancelled, TaskState::kUnknown);
      task.attempt_number = *rc::gen::inRange<int64_t>(0, 1000);
      task.worker = WorkerId(RandomText());
      task.boot = BootId(RandomText());
      task.result = RandomText();
      record.tasks.push_back(task);
    }
    record.accepted_at = RandomTime();
    record.started_at = RandomOptionalTime();
    record.finished_at = RandomOptionalTime();
    return record;
  });
}

rc::Gen<Contract> GenContract() {
  return rc::gen::exec([] {
    Contract contract;
    contract.customer = CustomerId(*GenIdentifier());
    if (*rc::gen::arbitrary<bool>()) {
      contract.caller_token_sha256 = std::string(64, *rc::gen::element('0', '9', 'a', 'f'));
    }
    contract.hold = *GenResources(true);
    contract.rate_per_second = *rc::gen::inRange(1, 1000000000) / 1009.0;
    contract.burst = *rc::gen::inRange<int64_t>(1, 1'000'000);
    contract.weight = *rc::gen::inRange(1, 1000000) / 977.0;
    contract.max_jobs = *rc::gen::inRange<int64_t>(0, 1'000'000);
    contract.max_deadline = absl::Milliseconds(*rc::gen::inRange<int64_t>(1, 1'000'000'000));
    contract.default_deadline = absl::Milliseconds(
        *rc::gen::inRange<int64_t>(1, absl::ToInt64Milliseconds(contract.max_deadline) + 1));
    contract.allow_urgent = *rc::gen::arbitrary<bool>();
    contract.allow_requests = *rc::gen::arbitrary<bool>();
    for (const JobKind kind : {JobKind::kBatch, JobKind::kGang, JobKind::kService}) {
      if (*rc::gen::arbitrary<bool>()) {
        contract.kinds.insert(kind);
      }
    }
    const int pools = *rc::gen::inRange(0, 4);
    for (int i = 0; i < pools; ++i) {
      contract.pools.insert(PoolName(*GenIdentifier()));
    }
    contract.home_domains.emplace_back("home");
    contract.home_domains.emplace_back("away");
    return contract;
  });
}

JobSpec ExampleJob() {
  JobSpec spec;
  spec.customer = CustomerId("sign-shop");
  spec.key = IdempotencyKey("order-1");
  spec.kind = JobKind::kBatch;
  spec.pool = PoolName("rendering");
  spec.demand.cpu = MilliCores(4000);
  spec.demand.memory = MebiBytes(8192);
  spec.demand.accelerators = AcceleratorCount(1);
  return spec;
}

Contract ExampleContract() {
  Contract contract;
  contract.customer = CustomerId("sign-shop");
  contract.hold.cpu = MilliCores(64'000);
  contract.hold.memory = MebiBytes(262'144);
  contract.hold.accelerators = AcceleratorCount(8);
  contract.rate_per_second = 50;
  contract.burst = 100;
  contract.weight = 1;
  contract.max_jobs = 200;
  contract.default_deadline = absl::Minutes(10);
  contract.max_deadline = absl::Hours(24);
  contract.kinds = {JobKind::kBatch, JobKind::kGang};
  contract.pools = {PoolName("rendering")};
  contract.home_domains = {FailureDomainId("cuenca")};
  return contract;
}

}  // namespace pomelotray
