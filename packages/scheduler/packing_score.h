#ifndef POMELOTRAY_SCHEDULER_PACKING_SCORE_H_
#define POMELOTRAY_SCHEDULER_PACKING_SCORE_H_

#include "base/resources.h"

namespace pomelotray {

// Free accelerators that have no cpu or memory left beside them, judged by the worker's own ratio
// of cpu and memory to accelerators.
double StrandedAccelerators(const Resources& capacity, const Resources& free);

// How badly `demand` would leave a worker: stranded accelerators weigh most, then free
// accelerators, then unbalanced and unused cpu and memory. Lower is better.
double PackingScore(const Resources& capacity, const Resources& free, const Resources& demand);

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_PACKING_SCORE_H_
