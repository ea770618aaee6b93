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

// The waiting jobs of one customer. Jobs of one shape are kept together, because when one of them
// finds no room the others find none either.
class CustomerQueue {
 public:
  explicit CustomerQueue(CustomerId id) : id_(std::move(id)) {}

  const CustomerId& id() const { return id_; }

  void Insert(QueuedJob* job);
  void Erase(QueuedJob* job);
  bool HasWaitingJobs() const { return !groups_.empty(); }

  // The first job, by key, of the shapes that are not blocked in this round; null if there is
  // none.
  QueuedJob* Head(uint64_t round) const;
  // Skips all jobs of this job's shape for the rest of the round.
  void Block(const QueuedJob& job, uint64_t round);

  // Demand of all queued tasks, and their expected cost in seconds of the whole shard.
  Resources wanted;
  double backlog = 0;

 private:
  // Accelerators, cpu, memory, slots, gang size, repeatable.
  using Shape = std::tuple<int64_t, int64_t, int64_t, int64_t, int64_t, bool>;
  struct Group {
    absl::btree_set<JobOrder> jobs;
    uint64_t blocked_round = 0;
  };

  static Shape ShapeOf(const QueuedJob& job);

  CustomerId id_;
  absl::btree_map<Shape, Group> groups_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_CUSTOMER_QUEUE_H_
