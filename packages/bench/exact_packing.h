#ifndef POMELOTRAY_BENCH_EXACT_PACKING_H_
#define POMELOTRAY_BENCH_EXACT_PACKING_H_

#include <vector>

#include "base/resources.h"

namespace pomelotray {

// The value of a placed task: its number of accelerators plus 0.01 per CPU core.
double PackedValue(const Resources& demand);

// Returns the largest total value of `tasks` that fits on `workers`, by branch and bound. The time
// is exponential in the number of tasks; practical for about a dozen.
double BestPackedValue(std::vector<Resources> workers, std::vector<Resources> tasks);

}  // namespace pomelotray

#endif  // POMELOTRAY_BENCH_EXACT_PACKING_H_
