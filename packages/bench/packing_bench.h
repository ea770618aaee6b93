#ifndef POMELOTRAY_BENCH_PACKING_BENCH_H_
#define POMELOTRAY_BENCH_PACKING_BENCH_H_

#include <cstdint>

#include "bench/bench_report.h"

namespace pomelotray {

// Compares what the placement policies pack onto a few workers with the exact optimum.
void RunPackingBench(uint64_t seed, BenchReport* report);

}  // namespace pomelotray

#endif  // POMELOTRAY_BENCH_PACKING_BENCH_H_
