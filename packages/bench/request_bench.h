#ifndef POMELOTRAY_BENCH_REQUEST_BENCH_H_
#define POMELOTRAY_BENCH_REQUEST_BENCH_H_

#include <cstdint>
#include <vector>

#include "bench/bench_report.h"

namespace pomelotray {

// Measures the goodput of interactive requests from half to ten times capacity, against a plain
// queue without admission.
void RunRequestBench(const std::vector<uint64_t>& seeds, BenchReport* report);

}  // namespace pomelotray

#endif  // POMELOTRAY_BENCH_REQUEST_BENCH_H_
