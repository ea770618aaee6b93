#ifndef TESTS_MODEL_MODEL_GENERATORS_H_
#define TESTS_MODEL_MODEL_GENERATORS_H_

#include <rapidcheck.h>

#include "model/contract.h"
#include "model/job.h"

namespace pomelotray {

rc::Gen<std::string> GenIdentifier();
rc::Gen<JobSpec> GenJobSpec();
rc::Gen<JobRecord> GenJobRecord();
rc::Gen<Contract> GenContract();

// A valid job and contract that tests change in one place.
JobSpec ExampleJob();
Contract ExampleContract();

}  // namespace pomelotray

#endif  // TESTS_MODEL_MODEL_GENERATORS_H_
