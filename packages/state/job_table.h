#ifndef POMELOTRAY_STATE_JOB_TABLE_H_
#define POMELOTRAY_STATE_JOB_TABLE_H_

#include <map>
#include <vector>

#include "state/journal_record.h"

namespace pomelotray {

// The set of jobs that results from applying a sequence of journal records.
class JobTable {
 public:
  void Apply(const JournalRecord& record);
  void Clear() { jobs_.clear(); }

  const std::map<JobId, JobRecord>& jobs() const { return jobs_; }
  std::vector<JobRecord> All() const;

 private:
  void ApplyUpdate(const TaskUpdate& update);

  std::map<JobId, JobRecord> jobs_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_STATE_JOB_TABLE_H_
