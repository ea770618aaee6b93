#ifndef POMELOTRAY_CELL_INTAKE_OUTAGE_WAIT_H_
#define POMELOTRAY_CELL_INTAKE_OUTAGE_WAIT_H_

#include "absl/time/time.h"

namespace pomelotray {

// Returns how long the submission of a job with this latency objective may wait for the store in an
// outage before it is refused. Zero if the objective is so short that an immediate refusal serves
// the caller better.
absl::Duration MaxOutageWait(absl::Duration objective);

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_INTAKE_OUTAGE_WAIT_H_
