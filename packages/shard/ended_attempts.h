#ifndef POMELOTRAY_SHARD_ENDED_ATTEMPTS_H_
#define POMELOTRAY_SHARD_ENDED_ATTEMPTS_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/strong_id.h"

namespace pomelotray {

// Ended attempts that workers still report. The owner acknowledges an attempt, so that the worker
// can drop its report, once the journal record with the attempt's sequence number is durable. Not
// thread-safe.
class EndedAttempts {
 public:
  // Has no effect if the attempt has already been added.
  void Add(const WorkerId& worker, const AttemptId& attempt, uint64_t sequence);
  // Removes the worker's attempts that are not in `reported`. A worker stops reporting an ended
  // attempt when it has received the acknowledgement.
  void RetainReported(const WorkerId& worker, const std::set<AttemptId>& reported);
  // Returns the worker's attempts whose sequence number is at most `durable`, the sequence number
  // up to which the journal is durable.
  std::vector<AttemptId> DurableAttempts(const WorkerId& worker, uint64_t durable) const;
  // Replaces the sequence number `pending` of the task's attempts by `sequence`, the number of a
  // later record.
  void UpdateSequence(const TaskId& task, uint64_t pending, uint64_t sequence);

 private:
  std::map<WorkerId, std::map<AttemptId, uint64_t>> attempts_by_worker_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_ENDED_ATTEMPTS_H_
