#ifndef POMELOTRAY_CELL_RECORDS_JOB_ID_RECORD_H_
#define POMELOTRAY_CELL_RECORDS_JOB_ID_RECORD_H_

#include <string>
#include <vector>

#include "base/error.h"
#include "base/strong_id.h"
#include "cell/membership/pool_part.h"

namespace pomelotray {

// The entry below an id alone (cell_keys::JobIdEntry()). It is created in the transaction that
// stores the job of the id, on condition that it does not exist, and removed together with the last
// entry of the job. While it exists, the id names this job and no other, whatever the configuration
// says.
//
// A cancellation of an id that names no job *withdraws* the id: the entry then names no job, but
// keeps a job whose creation arrives later from being stored.
struct JobIdRecord {
  // The part that holds the job until its retention is over, or whose owner removes the withdrawal.
  PartName part;
  // The customer that submitted the job; empty if there is none.
  CustomerId customer;
  // The customers for which the id is withdrawn, which may include the empty one. Empty if the id
  // names a job.
  std::vector<CustomerId> withdrawn_by;

  bool IsWithdrawn() const { return !withdrawn_by.empty(); }
  // Whether a job of the customer `owner` must not be stored: a caller that could have cancelled it
  // has withdrawn its id.
  bool IsWithdrawnFor(const CustomerId& owner) const;
};

// Converts the record to and from its stored form (JSON).
std::string EncodeJobIdRecord(const JobIdRecord& record);
Result<JobIdRecord> DecodeJobIdRecord(const std::string& text);

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_RECORDS_JOB_ID_RECORD_H_
