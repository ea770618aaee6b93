#ifndef POMELOTRAY_LOAD_CLUSTER_SETUP_H_
#define POMELOTRAY_LOAD_CLUSTER_SETUP_H_

#include "load/deployment.h"

namespace pomelotray {

// Waits until all instances are ready and all workers are usable, and creates the contract of the
// load test.
Result<void> PrepareCluster(const Deployment& deployment);

}  // namespace pomelotray

#endif  // POMELOTRAY_LOAD_CLUSTER_SETUP_H_
