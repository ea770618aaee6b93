#ifndef POMELOTRAY_BENCH_REQUEST_SOURCE_H_
#define POMELOTRAY_BENCH_REQUEST_SOURCE_H_

#include <array>
#include <cstdint>
#include <random>

#include "absl/time/time.h"

namespace pomelotray {

inline constexpr int kBenchExecutors = 35;
inline constexpr int kBenchSlots = 8;
inline constexpr absl::Duration kMeanService = absl::Milliseconds(50);
inline constexpr absl::Duration kRequestDeadline = absl::Milliseconds(500);

struct RequestArrival {
  int64_t number = 0;
  int customer = 0;
  // Work at an executor of normal speed.
  absl::Duration service;
};

// Poisson arrivals of three customers, who send 60%, 30% and 10% of the requests.
class RequestSource {
 public:
  // `load` is relative to the capacity of all slots.
  RequestSource(double load, uint64_t seed);

  absl::Duration NextGap();
  RequestArrival Next();
  // Every seventh executor takes twice the time.
  static double Slowness(int executor) { return executor % 7 == 0 ? 2.0 : 1.0; }
  // Requests per second that all slots can serve.
  static double Capacity();

 private:
  std::mt19937_64 random_;
  std::exponential_distribution<double> gap_;
  std::lognormal_distribution<double> service_;
  std::discrete_distribution<int> customer_{0.6, 0.3, 0.1};
  int64_t next_ = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_BENCH_REQUEST_SOURCE_H_
