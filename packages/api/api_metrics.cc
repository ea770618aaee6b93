#include "api/api_metrics.h"

#include <prometheus/text_serializer.h>

#include <sstream>

namespace pomelotray {
namespace {

// Histogram buckets in seconds, from 0.5 ms for requests answered locally to 60 s for long polls.
const prometheus::Histogram::BucketBoundaries& LatencyBounds() {
  static const prometheus::Histogram::BucketBoundaries* const kBounds =
      new prometheus::Histogram::BucketBoundaries{0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
                                                  0.1,    0.25,  0.5,    1,     2.5,  10,    60};
  return *kBounds;
}

}  // namespace

ApiMetrics::ApiMetrics(prometheus::Registry* registry)
    : registry_(registry),
      requests_(prometheus::BuildCounter()
                    .Name("pomelotray_http_requests_total")
                    .Help("HTTP requests by route and status.")
                    .Register(*registry)),
      latency_(prometheus::BuildHistogram()
                   .Name("pomelotray_http_request_seconds")
                   .Help("Time from the complete request to its answer, by route.")
                   .Register(*registry)) {}

void ApiMetrics::Record(const std::string& route, int status, absl::Duration latency) {
  requests_.Add({{"route", route}, {"status", std::to_string(status)}}).Increment();
  latency_.Add({{"route", route}}, LatencyBounds()).Observe(absl::ToDoubleSeconds(latency));
}

std::string ApiMetrics::Render() const {
  std::ostringstream text;
  prometheus::TextSerializer().Serialize(text, registry_->Collect());
  return text.str();
}

}  // namespace pomelotray
