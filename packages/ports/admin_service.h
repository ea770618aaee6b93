#ifndef POMELOTRAY_PORTS_ADMIN_SERVICE_H_
#define POMELOTRAY_PORTS_ADMIN_SERVICE_H_

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/error.h"
#include "base/event.h"
#include "base/shard_id.h"
#include "model/contract.h"
#include "model/job.h"
#include "model/vm.h"

namespace pomelotray {

// Who makes a call, after authentication. Operators may act for every customer.
struct Principal {
  bool is_operator = false;
  CustomerId customer;
};

struct InteractiveRequest {
  RequestId id;
  CustomerId customer;
  PoolName pool;
  std::string body;
  // Time left until the caller gives up.
  absl::Duration timeout;
  // False: the request is sent to an executor at most once.
  bool repeatable = true;
};

struct InteractiveAnswer {
  RequestId request;
  std::string body;
  ExecutorId executor;
};

struct InstanceStatus {
  InstanceId id;
  FailureDomainId domain;
  RegionId region;
  std::string address;
  std::string state;
  Revision configuration;
  std::vector<ShardId> owned_shards;
};

struct WorkerStatus {
  WorkerId id;
  ShardId shard;
  RackId rack;
  // "usable", "unfenced", "unreachable", "leaving", "quarantined" or "gone".
  std::string state;
  Resources capacity;
  Resources reserved;
  int64_t running_attempts = 0;
};

// What callers and operators can ask of the system, whichever instance they reach. The HTTP API is
// built on it.
class AdminService {
 public:
  virtual ~AdminService() = default;

  // Idempotent by customer and key. Returns the record once it is durable.
  virtual Result<JobRecord> Submit(const JobSpec& spec) = 0;
  virtual Result<JobRecord> GetJob(const JobId& job) = 0;
  virtual Result<JobRecord> CancelJob(const JobId& job) = 0;
  // Returns when the job is final or `timeout` has passed, with the record as it is then.
  virtual Result<JobRecord> WaitForJob(const JobId& job, absl::Duration timeout) = 0;
  // Live jobs of one customer, or of all.
  virtual Result<std::vector<JobRecord>> ListJobs(const std::optional<CustomerId>& customer) = 0;

  virtual Result<InteractiveAnswer> Request(const InteractiveRequest& request) = 0;

  virtual Result<std::vector<Contract>> ListContracts() = 0;
  virtual Result<Contract> GetContract(const CustomerId& customer) = 0;
  // Stores the contract if the stored revision is `expected` (0: it must not exist). Returns it
  // with its new revision.
  virtual Result<Contract> ApplyContract(const Contract& contract, Revision expected) = 0;

  virtual Result<std::vector<InstanceStatus>> ListInstances() = 0;
  virtual Result<std::vector<WorkerStatus>> ListWorkers() = 0;
  // Stops giving new work to a worker or executor.
  virtual Result<void> DrainVm(const VmId& vm) = 0;
  // Events of this instance, or of all instances when `all_instances`, that match the field filter.
  virtual Result<std::vector<Event>> Timeline(const std::map<std::string, std::string>& filter,
                                              bool all_instances) = 0;

  // Empty when ready, otherwise the reason, as a sentence.
  virtual std::string NotReadyReason() = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_PORTS_ADMIN_SERVICE_H_
