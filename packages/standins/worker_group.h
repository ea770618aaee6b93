#ifndef POMELOTRAY_STANDINS_WORKER_GROUP_H_
#define POMELOTRAY_STANDINS_WORKER_GROUP_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "standins/worker_standin.h"

namespace pomelotray {

// Runs several worker stand-ins in one process. Each has its own listener and the id
// "<id>-<number>", numbered from 1.
class WorkerGroup {
 public:
  WorkerGroup(const WorkerOptions& options, int64_t count, const Clock* clock, EventLog* events);

  // With port 0, every worker listens on a free port; otherwise the workers use consecutive ports
  // that begin with `port`.
  bool Start(int port);
  void Stop();
  // Returns [{"id", "address"}, ...], one entry per worker.
  nlohmann::json Rows() const;

 private:
  std::vector<WorkerId> ids_;
  std::vector<std::unique_ptr<WorkerStandin>> workers_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STANDINS_WORKER_GROUP_H_
