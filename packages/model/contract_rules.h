#ifndef POMELOTRAY_MODEL_CONTRACT_RULES_H_
#define POMELOTRAY_MODEL_CONTRACT_RULES_H_

#include "absl/time/time.h"
#include "base/error.h"
#include "base/resources.h"
#include "model/contract.h"
#include "model/job.h"

namespace pomelotray {

// What the job must be able to hold at one time to make progress: all tasks of a gang or service,
// one task of a batch job.
Resources LargestSimultaneousHold(const JobSpec& spec);

// Checks a valid spec against its customer's contract. The message lists all violations; the kind
// is that of the first: kPermissionDenied for a kind, pool or priority that the contract excludes,
// kOverLimit for a job that can never fit the contract's hold, kInvalidArgument for a deadline
// beyond the contract's longest, kDeadlineUnmeetable for one that has passed.
Result<void> CheckAgainstContract(const JobSpec& spec, const Contract& contract, absl::Time now);

// Sets the contract's default deadline where the spec has none; services keep none. Compare
// repeated submissions before this call, because the result depends on `now`.
JobSpec WithContractDefaults(JobSpec spec, const Contract& contract, absl::Time now);

}  // namespace pomelotray

#endif  // POMELOTRAY_MODEL_CONTRACT_RULES_H_
