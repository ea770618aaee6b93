#ifndef POMELOTRAY_LOAD_DEPLOYMENT_H_
#define POMELOTRAY_LOAD_DEPLOYMENT_H_

#include <string>
#include <vector>

#include "base/error.h"

namespace pomelotray {

struct InstanceProcess {
  std::string id;
  std::string domain;
  // IP address and port of the HTTP API.
  std::string address;
  int pid = 0;
};

struct WorkerProcess {
  int pid = 0;
  // Path of the event log that all workers of the process write to.
  std::string events;
  std::vector<std::string> addresses;
};

// The processes that scripts/load started.
struct Deployment {
  std::vector<InstanceProcess> instances;
  std::vector<WorkerProcess> workers;
  std::string store_address;
  // Addresses of executors that are configured like those of the pool but are not in the VM list.
  // They are called directly, as the baseline for the latency through pomelotray.
  std::vector<std::string> direct_executors;
  std::vector<std::string> domains;
  std::string operator_token;

  size_t WorkerCount() const;
};

// Reads the JSON file that scripts/load writes.
Result<Deployment> ReadDeployment(const std::string& path);

}  // namespace pomelotray

#endif  // POMELOTRAY_LOAD_DEPLOYMENT_H_
