#ifndef POMELOTRAY_SCHEDULER_TASK_FIT_H_
#define POMELOTRAY_SCHEDULER_TASK_FIT_H_

#include <cstdint>

#include "base/resources.h"

namespace pomelotray {

// Returns how many tasks that need `demand` each fit into `free`, at most `limit`.
int64_t TasksThatFit(const Resources& free, const Resources& demand, int64_t limit);

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_TASK_FIT_H_
