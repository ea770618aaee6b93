#ifndef POMELOTRAY_BENCH_REQUEST_BENCH_H_
#define POMELOTRAY_BENCH_REQUEST_BENCH_H_

#include <cstdint>
#include <vector>

#include "bench/bench_report.h"

namespace pomelotray {

// Measures the goodput of interactive requests at loads from 0.5 to 10 times the capacity, and
// compares the dispatcher with a FIFO queue without admission control.
void RunRequestBench(const std::vector<uint64_t>& seeds, BenchReport* report);

}  // namespace pomelotray

#endif  // POMELOTRAY_BENCH_REQUEST_BENCH_H_
