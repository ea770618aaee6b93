#ifndef TESTS_API_FAKE_ADMIN_SERVICE_H_
#define TESTS_API_FAKE_ADMIN_SERVICE_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "model/contract_rules.h"
#include "ports/admin_service.h"

namespace pomelotray {

// In-memory AdminService. Tests can inject errors and block interactive requests.
class FakeAdminService : public AdminService {
 public:
  // Makes calls fail with `error` until this is called again with nullopt. ListContracts() and
  // GetContract() do not fail.
  void FailWith(const std::optional<Error>& error) {
    absl::MutexLock lock(&mutex_);
    error_ = error;
  }
  void SetNotReady(const std::string& reason) {
    absl::MutexLock lock(&mutex_);
    not_ready_ = reason;
  }
  void SetJobState(const JobId& id, JobState state, const std::string& reason) {
    absl::MutexLock lock(&mutex_);
    jobs_[id].state = state;
    jobs_[id].reason = reason;
  }
  // While `block` is true, interactive requests wait, for at most 20 s.
  void BlockRequests(bool block) {
    absl::MutexLock lock(&mutex_);
    blocked_ = block;
  }
  int waiting_requests() {
    absl::MutexLock lock(&mutex_);
    return waiting_requests_;
  }
  InteractiveRequest last_request() {
    absl::MutexLock lock(&mutex_);
    return last_request_;
  }
  std::vector<VmId> drained() {
    absl::MutexLock lock(&mutex_);
    return drained_;
  }
  int64_t submissions() {
    absl::MutexLock lock(&mutex_);
    return submissions_;
  }

  Result<JobRecord> Submit(const JobSpec& spec) override {
    absl::MutexLock lock(&mutex_);
    BOOST_LEAF_CHECK(Check());
    ++submissions_;
    JobRecord record;
    record.spec = spec;
    record.id = MakeJobId({FailureDomainId("cuenca"), spec.pool}, spec.customer, spec.key);
    record.reason = "The job waits for a free accelerator.";
    record.accepted_at = absl::FromUnixSeconds(1'000'000);
    record.tasks.resize(static_cast<size_t>(spec.task_count));
    for (size_t i = 0; i < record.tasks.size(); ++i) {
      record.tasks[i].task = MakeTaskId(record.id, static_cast<int64_t>(i));
    }
    return jobs_.emplace(record.id, record).first->second;
  }

  Result<JobRecord> GetJob(const JobId& job) override {
    absl::MutexLock lock(&mutex_);
    return Find(job);
  }

  Result<JobRecord> CancelJob(const JobId& job) override {
    absl::MutexLock lock(&mutex_);
    BOOST_LEAF_CHECK(Find(job));
    jobs_[job].state = JobState::kCancelled;
    jobs_[job].reason = "The job was cancelled.";
    return jobs_[job];
  }

  Result<JobRecord> WaitForJob(const JobId& job, absl::Duration timeout) override {
    absl::MutexLock lock(&mutex_);
    BOOST_LEAF_CHECK(Find(job));
    const auto is_final = [this, &job]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
      return IsFinal(jobs_[job].state);
    };
    mutex_.AwaitWithTimeout(absl::Condition(&is_final), timeout);
    return Find(job);
  }

  Result<std::vector<JobRecord>> ListJobs(const std::optional<CustomerId>& customer) override {
    absl::MutexLock lock(&mutex_);
    BOOST_LEAF_CHECK(Check());
    std::vector<JobRecord> records;
    for (const auto& [id, record] : jobs_) {
      if (!customer.has_value() || record.spec.customer == *customer) {
        records.push_back(record);
      }
    }
    return records;
  }

  Result<InteractiveAnswer> Request(const InteractiveRequest& request) override {
    absl::MutexLock lock(&mutex_);
    last_request_ = request;
    ++waiting_requests_;
    const auto released = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) { return !blocked_; };
    mutex_.AwaitWithTimeout(absl::Condition(&released), absl::Seconds(20));
    --waiting_requests_;
    BOOST_LEAF_CHECK(Check());
    return InteractiveAnswer{request.id, "answer to " + request.body, ExecutorId("executor-1")};
  }

  Result<std::vector<Contract>> ListContracts() override {
    absl::MutexLock lock(&mutex_);
    std::vector<Contract> contracts;
    for (const auto& [customer, contract] : contracts_) {
      contracts.push_back(contract);
    }
    return contracts;
  }

  Result<Contract> GetContract(const CustomerId& customer) override {
    absl::MutexLock lock(&mutex_);
    const auto it = contracts_.find(customer);
    if (it == contracts_.end()) {
      return Fail(ErrorKind::kNotFound, "Customer " + customer.value() + " has no contract.");
    }
    return it->second;
  }

  Result<Contract> ApplyContract(const Contract& contract, Revision expected) override {
    absl::MutexLock lock(&mutex_);
    BOOST_LEAF_CHECK(Check());
    const auto it = contracts_.find(contract.customer);
    const Revision stored = it == contracts_.end() ? Revision(0) : it->second.revision;
    if (stored != expected) {
      return Fail(ErrorKind::kConflict, "The contract has revision " +
                                            std::to_string(stored.value()) +
                                            "; read it again and repeat the change.");
    }
    Contract& entry = contracts_[contract.customer];
    entry = contract;
    entry.revision = Revision(++revision_);
    return entry;
  }

  Result<std::vector<InstanceStatus>> ListInstances() override {
    absl::MutexLock lock(&mutex_);
    BOOST_LEAF_CHECK(Check());
    InstanceStatus status;
    status.id = InstanceId("entry-1");
    status.domain = FailureDomainId("cuenca");
    status.region = RegionId("sierra");
    status.address = "127.0.0.1:7071";
    status.state = "live";
    status.configuration = Revision(7);
    status.owned_shards = {{FailureDomainId("cuenca"), PoolName("rendering")}};
    return std::vector<InstanceStatus>{status};
  }

  Result<std::vector<WorkerStatus>> ListWorkers() override {
    absl::MutexLock lock(&mutex_);
    BOOST_LEAF_CHECK(Check());
    WorkerStatus status;
    status.id = WorkerId("worker-1");
    status.shard = {FailureDomainId("cuenca"), PoolName("rendering")};
    status.rack = RackId("rack-1");
    status.state = "usable";
    status.capacity.cpu = MilliCores(64'000);
    status.reserved.cpu = MilliCores(4000);
    status.running_attempts = 1;
    return std::vector<WorkerStatus>{status};
  }

  Result<void> DrainVm(const VmId& vm) override {
    absl::MutexLock lock(&mutex_);
    BOOST_LEAF_CHECK(Check());
    drained_.push_back(vm);
    return {};
  }

  Result<std::vector<Event>> Timeline(const std::map<std::string, std::string>& filter,
                                      bool all_instances) override {
    absl::MutexLock lock(&mutex_);
    BOOST_LEAF_CHECK(Check());
    std::vector<Event> events;
    for (int i = 0; i < (all_instances ? 2 : 1); ++i) {
      Event event;
      event.time = EarliestStamp(absl::FromUnixMicros(1'000'000'000'000LL + i));
      event.process = i == 0 ? "entry-1" : "entry-2";
      event.sequence = 5;
      event.code = i == 0 ? EventCode::kJobAccepted : EventCode::kTaskStarted;
      event.fields = filter;
      events.push_back(event);
    }
    return events;
  }

  std::string NotReadyReason() override {
    absl::MutexLock lock(&mutex_);
    return not_ready_;
  }

 private:
  Result<void> Check() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    if (error_.has_value()) {
      return Fail(*error_);
    }
    return {};
  }

  Result<JobRecord> Find(const JobId& job) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    BOOST_LEAF_CHECK(Check());
    const auto it = jobs_.find(job);
    if (it == jobs_.end()) {
      return Fail(ErrorKind::kNotFound, "Job " + job.value() + " is unknown to the fake.");
    }
    return it->second;
  }

  absl::Mutex mutex_;
  std::optional<Error> error_ ABSL_GUARDED_BY(mutex_);
  std::string not_ready_ ABSL_GUARDED_BY(mutex_);
  std::map<JobId, JobRecord> jobs_ ABSL_GUARDED_BY(mutex_);
  std::map<CustomerId, Contract> contracts_ ABSL_GUARDED_BY(mutex_);
  int64_t revision_ ABSL_GUARDED_BY(mutex_) = 0;
  int64_t submissions_ ABSL_GUARDED_BY(mutex_) = 0;
  bool blocked_ ABSL_GUARDED_BY(mutex_) = false;
  int waiting_requests_ ABSL_GUARDED_BY(mutex_) = 0;
  InteractiveRequest last_request_ ABSL_GUARDED_BY(mutex_);
  std::vector<VmId> drained_ ABSL_GUARDED_BY(mutex_);
};

// Returns a contract that allows all job kinds and interactive requests, with high limits and the
// given token hash.
inline Contract GenerousContract(const std::string& customer, const std::string& token_sha256) {
  Contract contract;
  contract.customer = CustomerId(customer);
  contract.caller_token_sha256 = token_sha256;
  contract.hold = {MilliCores(64'000), MebiBytes(262'144), AcceleratorCount(8), SlotCount(16)};
  contract.rate_per_second = 50;
  contract.burst = 100;
  contract.max_jobs = 200;
  contract.default_deadline = absl::Minutes(1);
  contract.max_deadline = absl::Hours(24);
  contract.allow_urgent = true;
  contract.allow_requests = true;
  contract.kinds = {JobKind::kBatch, JobKind::kGang, JobKind::kService};
  contract.pools = {PoolName("rendering")};
  contract.home_domains = {FailureDomainId("cuenca")};
  return contract;
}

}  // namespace pomelotray

#endif  // TESTS_API_FAKE_ADMIN_SERVICE_H_
