#include "bench/request_source.h"

#include <cmath>

namespace pomelotray {
namespace {

constexpr double kServiceSigma = 0.5;

}  // namespace

RequestSource::RequestSource(double load, uint64_t seed)
    : random_(seed),
      interarrival_(load * Capacity()),
      // A lognormal distribution has the mean exp(mu + sigma^2 / 2); mu is chosen so that the mean
      // is kMeanServiceTime.
      service_(
          std::log(absl::ToDoubleSeconds(kMeanServiceTime)) - kServiceSigma * kServiceSigma / 2,
          kServiceSigma) {}

absl::Duration RequestSource::NextInterarrivalTime() {
  return absl::Seconds(interarrival_(random_));
}

RequestArrival RequestSource::Next() {
  return RequestArrival{next_++, customer_(random_), absl::Seconds(service_(random_))};
}

double RequestSource::Capacity() {
  double capacity = 0;
  for (int i = 0; i < kBenchExecutors; ++i) {
    capacity += kBenchSlots / (absl::ToDoubleSeconds(kMeanServiceTime) * ServiceTimeFactor(i));
  }
  return capacity;
}

}  // namespace pomelotray
