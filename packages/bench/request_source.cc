#include "bench/request_source.h"

#include <cmath>

namespace pomelotray {
namespace {

constexpr double kServiceSigma = 0.5;

}  // namespace

RequestSource::RequestSource(double load, uint64_t seed)
    : random_(seed),
      gap_(load * Capacity()),
      // The mean of a lognormal distribution is exp(mu + sigma^2 / 2).
      service_(std::log(absl::ToDoubleSeconds(kMeanService)) - kServiceSigma * kServiceSigma / 2,
               kServiceSigma) {}

absl::Duration RequestSource::NextGap() { return absl::Seconds(gap_(random_)); }

RequestArrival RequestSource::Next() {
  return RequestArrival{next_++, customer_(random_), absl::Seconds(service_(random_))};
}

double RequestSource::Capacity() {
  double capacity = 0;
  for (int i = 0; i < kBenchExecutors; ++i) {
    capacity += kBenchSlots / (absl::ToDoubleSeconds(kMeanService) * Slowness(i));
  }
  return capacity;
}

}  // namespace pomelotray
