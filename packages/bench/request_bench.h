#ifndef POMELOTRAY_BENCH_REQUEST_BENCH_H_
#define POMELOTRAY_BENCH_REQUEST_BENCH_H_

#include <cstdint>

#include "bench/bench_report.h"

namespace pomelotray {

// Measures the goodput of interactive requests from half to ten times capacity, against a plain
// queue without admission.
void RunRequestBench(uint64_t seed, BenchReport* report);

}  // namespace pomelotray

#endif  // POMELOTRAY_BENCH_REQUEST_BENCH_H_
