#ifndef POMELOTRAY_API_API_METRICS_H_
#define POMELOTRAY_API_API_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

#include "absl/time/time.h"

namespace pomelotray {

// Counts HTTP requests by route and status and measures their latency. Thread-safe.
class ApiMetrics {
 public:
  explicit ApiMetrics(prometheus::Registry* registry);

  // `route` is the pattern of the route, not the request path, which bounds the number of time
  // series.
  void Record(const std::string& route, int status, absl::Duration latency);

  // Renders all metrics of the registry in the Prometheus text format.
  std::string Render() const;

 private:
  prometheus::Registry* const registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Histogram>& latency_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_API_API_METRICS_H_
