#ifndef POMELOTRAY_MODEL_VM_H_
#define POMELOTRAY_MODEL_VM_H_

#include <string>

#include "base/resources.h"
#include "base/shard_id.h"
#include "base/strong_id.h"

namespace pomelotray {

enum class VmRole { kEntry, kWorker, kExecutor };

// One row of the platform's VM list, which lags behind the truth.
struct VmEntry {
  VmId id;
  VmRole role = VmRole::kWorker;
  // "<ip>:<port>"; for entry VMs the listener for other instances.
  std::string address;
  RegionId region;
  FailureDomainId domain;
  RackId rack;
  // Empty for entry VMs.
  PoolName pool;
  bool leaving = false;
  // Tasks' capacity of a worker; slots of an executor.
  Resources capacity;
  // Concurrent connections that an executor accepts.
  int64_t max_connections = 0;

  ShardId shard() const { return ShardId{domain, pool}; }
};

}  // namespace pomelotray

#endif  // POMELOTRAY_MODEL_VM_H_
