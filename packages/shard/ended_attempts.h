#ifndef POMELOTRAY_SHARD_ENDED_ATTEMPTS_H_
#define POMELOTRAY_SHARD_ENDED_ATTEMPTS_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/strong_id.h"

namespace pomelotray {

// Attempts that workers still report although they have ended, each with the journal sequence after
// which the worker may forget it. Not thread-safe.
class EndedAttempts {
 public:
  // Does nothing when the attempt is known already.
  void Add(const WorkerId& worker, const AttemptId& attempt, uint64_t sequence);
  // Forgets the attempts that the worker no longer reports: it has got their acknowledgement.
  void KeepOnly(const WorkerId& worker, const std::set<AttemptId>& reported);
  // Attempts on the worker whose sequence is at most `durable`.
  std::vector<AttemptId> Durable(const WorkerId& worker, uint64_t durable) const;
  // Gives the task's attempts that wait for `pending` the sequence of a later record.
  void Renumber(const TaskId& task, uint64_t pending, uint64_t sequence);

 private:
  std::map<WorkerId, std::map<AttemptId, uint64_t>> ended_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_ENDED_ATTEMPTS_H_
