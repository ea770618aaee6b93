#ifndef POMELOTRAY_BENCH_WAITING_BENCH_H_
#define POMELOTRAY_BENCH_WAITING_BENCH_H_

#include <cstdint>
#include <vector>

#include "bench/bench_report.h"

namespace pomelotray {

// Measures waiting times, deadline misses, idle accelerators and fairness of the policies and the
// baselines under the load of both users.
void RunWaitingBench(const std::vector<uint64_t>& seeds, BenchReport* report);

}  // namespace pomelotray

#endif  // POMELOTRAY_BENCH_WAITING_BENCH_H_
