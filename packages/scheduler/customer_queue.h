#ifndef POMELOTRAY_SCHEDULER_CUSTOMER_QUEUE_H_
#define POMELOTRAY_SCHEDULER_CUSTOMER_QUEUE_H_

#include <cstdint>
#include <tuple>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "base/resources.h"
#include "base/strong_id.h"
#include "scheduler/queued_job.h"

namespace pomelotray {

// Waiting jobs of one customer, grouped by shape. Jobs of one shape have the same resource demand
// and constraints, so when one of them cannot be placed, none of the others can.
class CustomerQueue {
 public:
  explicit CustomerQueue(CustomerId id) : id_(std::move(id)) {}

  const CustomerId& id() const { return id_; }

  void Insert(QueuedJob* job);
  void Erase(QueuedJob* job);
  bool HasWaitingJobs() const { return !groups_.empty(); }

  // Returns the first job in queue order among the shapes that are not skipped in this scheduling
  // round, or null if there is none.
  QueuedJob* Head(uint64_t round) const;
  // Makes Head() skip all jobs of this job's shape for the rest of the scheduling round.
  void SkipShapeOf(const QueuedJob& job, uint64_t round);

  // Total demand of the customer's queued tasks.
  Resources queued_demand;
  // Expected cost of the queued tasks, in seconds of the whole shard's capacity.
  double backlog = 0;

 private:
  // Accelerators, CPU, memory, slots, gang size (0 unless the job is a gang), repeatable.
  using Shape = std::tuple<int64_t, int64_t, int64_t, int64_t, int64_t, bool>;
  struct Group {
    absl::btree_set<JobOrder> jobs;
    uint64_t skipped_round = 0;
  };

  static Shape ShapeOf(const QueuedJob& job);

  CustomerId id_;
  absl::btree_map<Shape, Group> groups_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_CUSTOMER_QUEUE_H_
