#ifndef POMELOTRAY_LOAD_DEPLOYMENT_H_
#define POMELOTRAY_LOAD_DEPLOYMENT_H_

#include <string>
#include <vector>

#include "base/error.h"

namespace pomelotray {

struct InstanceProcess {
  std::string id;
  std::string domain;
  // Listener of the HTTP API.
  std::string address;
  int pid = 0;
};

struct WorkerProcess {
  int pid = 0;
  // File of the events of all workers in the process.
  std::string events;
  std::vector<std::string> addresses;
};

// The running processes, as scripts/load started them.
struct Deployment {
  std::vector<InstanceProcess> instances;
  std::vector<WorkerProcess> workers;
  std::string store_address;
  // Executors of the same kind that are not in the VM list, for direct calls.
  std::vector<std::string> direct_executors;
  std::vector<std::string> domains;
  std::string operator_token;

  size_t WorkerCount() const;
};

// Reads the JSON file that scripts/load writes.
Result<Deployment> ReadDeployment(const std::string& path);

}  // namespace pomelotray

#endif  // POMELOTRAY_LOAD_DEPLOYMENT_H_
