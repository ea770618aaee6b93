#ifndef POMELOTRAY_BENCH_PACKING_BENCH_H_
#define POMELOTRAY_BENCH_PACKING_BENCH_H_

#include <cstdint>
#include <vector>

#include "bench/bench_report.h"

namespace pomelotray {

// Compares the value that each placement policy packs onto two or three workers with the exact
// optimum.
void RunPackingBench(const std::vector<uint64_t>& seeds, BenchReport* report);

}  // namespace pomelotray

#endif  // POMELOTRAY_BENCH_PACKING_BENCH_H_
