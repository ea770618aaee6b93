#ifndef POMELOTRAY_SCHEDULER_PACKING_SCORE_H_
#define POMELOTRAY_SCHEDULER_PACKING_SCORE_H_

#include "base/resources.h"

namespace pomelotray {

// Returns the number of free accelerators that are stranded: the worker has too little free CPU or
// memory to use them, at the ratio of CPU and memory to accelerators of its total capacity.
double StrandedAccelerators(const Resources& capacity, const Resources& free);

// Scores a worker as it would be with `demand` placed on it. Newly stranded accelerators weigh
// most, then free accelerators, then unbalanced and unused CPU and memory. Lower is better.
double PackingScore(const Resources& capacity, const Resources& free, const Resources& demand);

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_PACKING_SCORE_H_
