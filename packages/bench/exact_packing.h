#ifndef POMELOTRAY_BENCH_EXACT_PACKING_H_
#define POMELOTRAY_BENCH_EXACT_PACKING_H_

#include <vector>

#include "base/resources.h"

namespace pomelotray {

// The value of placed work: accelerators first, cpu as a small addition.
double PackedValue(const Resources& demand);

// The largest total value of `tasks` that fits on `workers`, by exhaustive search with a bound.
// For about a dozen tasks.
double BestPackedValue(std::vector<Resources> workers, std::vector<Resources> tasks);

}  // namespace pomelotray

#endif  // POMELOTRAY_BENCH_EXACT_PACKING_H_
