#ifndef POMELOTRAY_BENCH_DECISION_BENCH_H_
#define POMELOTRAY_BENCH_DECISION_BENCH_H_

#include <cstdint>

#include "bench/bench_report.h"

namespace pomelotray {

// Measures the time of one decision at growing numbers of workers, in a nearly full pool and in a
// full pool with a backlog.
void RunDecisionBench(uint64_t seed, BenchReport* report);

}  // namespace pomelotray

#endif  // POMELOTRAY_BENCH_DECISION_BENCH_H_
