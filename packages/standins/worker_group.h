#ifndef POMELOTRAY_STANDINS_WORKER_GROUP_H_
#define POMELOTRAY_STANDINS_WORKER_GROUP_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "standins/worker_standin.h"

namespace pomelotray {

// Several worker stand-ins in one process, each with a listener of its own and the id
// "<id>-<number>", counted from 1.
class WorkerGroup {
 public:
  WorkerGroup(const WorkerOptions& options, int64_t count, const Clock* clock, EventLog* events);

  // With port 0 every worker picks a free one; otherwise they take consecutive ports.
  bool Start(int port);
  void Stop();
  // [{"id", "address"}, ...]
  nlohmann::json Rows() const;

 private:
  std::vector<WorkerId> ids_;
  std::vector<std::unique_ptr<WorkerStandin>> workers_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STANDINS_WORKER_GROUP_H_
