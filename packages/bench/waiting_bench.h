#ifndef POMELOTRAY_BENCH_WAITING_BENCH_H_
#define POMELOTRAY_BENCH_WAITING_BENCH_H_

#include <cstdint>
#include <vector>

#include "bench/bench_report.h"

namespace pomelotray {

// Measures waiting times, deadline misses, idle accelerators and fairness of the scheduling
// policies and the baselines, for the modelled shards of workload.h.
void RunWaitingBench(const std::vector<uint64_t>& seeds, BenchReport* report);

}  // namespace pomelotray

#endif  // POMELOTRAY_BENCH_WAITING_BENCH_H_
