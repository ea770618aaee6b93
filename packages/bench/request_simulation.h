#ifndef POMELOTRAY_BENCH_REQUEST_SIMULATION_H_
#define POMELOTRAY_BENCH_REQUEST_SIMULATION_H_

#include <array>
#include <cstdint>
#include <memory>

#include "bench/event_loop.h"
#include "bench/request_source.h"
#include "bench/samples.h"

namespace pomelotray {

struct RequestOutcome {
  int64_t arrived = 0;
  int64_t in_time = 0;
  // Answered after the deadline: executor time without use.
  int64_t late = 0;
  int64_t refused = 0;
  // Accepted, then dropped before the deadline because it could not be met.
  int64_t dropped = 0;
  std::array<int64_t, 3> in_time_by_customer = {};
  // From arrival to the answer in time, in ms.
  Samples latency;
  // From arrival to the refusal or drop, in ms.
  Samples time_to_refusal;
};

// Runs requests through an executor model for this long after a warm-up.
inline constexpr absl::Duration kRequestRun = absl::Seconds(10);
inline constexpr absl::Duration kRequestWarmUp = absl::Seconds(2);

// The real RequestDispatcher.
RequestOutcome SimulateDispatcher(double load, uint64_t seed);
// The same dispatchers in several instances. Each has an equal part of the slots of every executor
// and gets every n-th request, as from a load balancer.
RequestOutcome SimulateSplitDispatchers(int parts, double load, uint64_t seed);
// Baseline: one queue in order of arrival, any free executor, no admission.
RequestOutcome SimulatePlainQueue(double load, uint64_t seed);

}  // namespace pomelotray

#endif  // POMELOTRAY_BENCH_REQUEST_SIMULATION_H_
