#ifndef POMELOTRAY_BENCH_REQUEST_SOURCE_H_
#define POMELOTRAY_BENCH_REQUEST_SOURCE_H_

#include <array>
#include <cstdint>
#include <random>

#include "absl/time/time.h"

namespace pomelotray {

inline constexpr int kBenchExecutors = 35;
inline constexpr int kBenchSlots = 8;
inline constexpr absl::Duration kMeanServiceTime = absl::Milliseconds(50);
inline constexpr absl::Duration kRequestDeadline = absl::Milliseconds(500);

struct RequestArrival {
  int64_t number = 0;
  int customer = 0;
  // Service time on an executor of normal speed.
  absl::Duration service;
};

// Generates Poisson arrivals of three customers, which send 60%, 30% and 10% of the requests.
class RequestSource {
 public:
  // `load` is the arrival rate relative to Capacity().
  RequestSource(double load, uint64_t seed);

  absl::Duration NextInterarrivalTime();
  RequestArrival Next();
  // Factor on the service time: every seventh executor takes twice as long.
  static double ServiceTimeFactor(int executor) { return executor % 7 == 0 ? 2.0 : 1.0; }
  // Returns the requests per second that all slots of all executors can serve.
  static double Capacity();

 private:
  std::mt19937_64 random_;
  std::exponential_distribution<double> interarrival_;
  std::lognormal_distribution<double> service_;
  std::discrete_distribution<int> customer_{0.6, 0.3, 0.1};
  int64_t next_ = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_BENCH_REQUEST_SOURCE_H_
