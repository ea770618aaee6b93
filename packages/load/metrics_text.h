#ifndef POMELOTRAY_LOAD_METRICS_TEXT_H_
#define POMELOTRAY_LOAD_METRICS_TEXT_H_

#include <map>
#include <string>
#include <vector>

namespace pomelotray {

struct MetricSample {
  std::string name;
  std::map<std::string, std::string> labels;
  double value = 0;

  std::string Label(const std::string& label) const;
};

// Parses the subset of the Prometheus text format that GET /metrics produces. Escape sequences in
// label values are not supported.
std::vector<MetricSample> ParseMetrics(const std::string& text);

}  // namespace pomelotray

#endif  // POMELOTRAY_LOAD_METRICS_TEXT_H_
