#ifndef POMELOTRAY_BENCH_DECISION_BENCH_H_
#define POMELOTRAY_BENCH_DECISION_BENCH_H_

#include <cstdint>

#include "bench/bench_report.h"

namespace pomelotray {

// Measures the time per scheduling decision for increasing numbers of workers, in a nearly full
// pool and in a full pool with a backlog of queued tasks.
void RunDecisionBench(uint64_t seed, BenchReport* report);

}  // namespace pomelotray

#endif  // POMELOTRAY_BENCH_DECISION_BENCH_H_
