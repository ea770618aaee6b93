#ifndef POMELOTRAY_CELL_RECORDS_JOB_ID_RECORD_H_
#define POMELOTRAY_CELL_RECORDS_JOB_ID_RECORD_H_

#include <string>

#include "base/error.h"
#include "base/strong_id.h"
#include "cell/membership/pool_part.h"

namespace pomelotray {

// The entry below a job's id alone (cell_keys::JobIdEntry()). It is created in the transaction that
// stores the job, on condition that it does not exist, and removed together with the last entry of
// the job. While it exists, the id names this job and no other, whatever the configuration says.
struct JobIdRecord {
  // The part that holds the job until its retention is over.
  PartName part;
  // The customer that submitted the job; empty if there is none.
  CustomerId customer;
};

// Converts the record to and from its stored form (JSON).
std::string EncodeJobIdRecord(const JobIdRecord& record);
Result<JobIdRecord> DecodeJobIdRecord(const std::string& text);

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_RECORDS_JOB_ID_RECORD_H_
