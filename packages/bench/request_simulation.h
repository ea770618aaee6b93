#ifndef POMELOTRAY_BENCH_REQUEST_SIMULATION_H_
#define POMELOTRAY_BENCH_REQUEST_SIMULATION_H_

#include <array>
#include <cstdint>
#include <memory>

#include "bench/event_loop.h"
#include "bench/request_source.h"
#include "bench/samples.h"

namespace pomelotray {

// The measurements of one simulation run; requests of the warm-up are not counted.
struct RequestOutcome {
  int64_t arrived = 0;
  // Answered by the deadline.
  int64_t in_time = 0;
  // Answered after the deadline, which wastes executor time.
  int64_t late = 0;
  int64_t refused = 0;
  // Accepted, but dropped later because the deadline could no longer be met.
  int64_t dropped = 0;
  std::array<int64_t, 3> in_time_by_customer = {};
  // Milliseconds from arrival to answer, of requests that were answered by the deadline.
  Samples latency;
  // Milliseconds from arrival until the request was refused or dropped.
  Samples time_to_refusal;
};

// Simulated time that is measured, and the warm-up before it.
inline constexpr absl::Duration kRequestRunTime = absl::Seconds(10);
inline constexpr absl::Duration kRequestWarmUp = absl::Seconds(2);

// Simulates executors that are served by one instance of the production RequestDispatcher.
RequestOutcome SimulateDispatcher(double load, uint64_t seed);
// Simulates several RequestDispatcher instances behind a round-robin load balancer: each owns an
// equal share of the slots of every executor and gets every n-th request.
RequestOutcome SimulateDispatcherInstances(int instances, double load, uint64_t seed);
// Simulates the baseline: a single FIFO queue without admission control, whose requests start on
// the first executor with a free slot.
RequestOutcome SimulatePlainQueue(double load, uint64_t seed);

}  // namespace pomelotray

#endif  // POMELOTRAY_BENCH_REQUEST_SIMULATION_H_
