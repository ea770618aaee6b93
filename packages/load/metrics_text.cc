#include "load/metrics_text.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace pomelotray {
namespace {

std::map<std::string, std::string> ParseLabels(absl::string_view text) {
  std::map<std::string, std::string> labels;
  for (absl::string_view part : absl::StrSplit(text, ',', absl::SkipEmpty())) {
    const std::pair<std::string, std::string> label = absl::StrSplit(part, absl::MaxSplits('=', 1));
    absl::string_view value = label.second;
    absl::ConsumePrefix(&value, "\"");
    absl::ConsumeSuffix(&value, "\"");
    labels[label.first].assign(value.data(), value.size());
  }
  return labels;
}

}  // namespace

std::string MetricSample::Label(const std::string& label) const {
  const auto it = labels.find(label);
  return it == labels.end() ? "" : it->second;
}

std::vector<MetricSample> ParseMetrics(const std::string& text) {
  std::vector<MetricSample> samples;
  for (absl::string_view line : absl::StrSplit(text, '\n', absl::SkipEmpty())) {
    const size_t space = line.rfind(' ');
    MetricSample sample;
    if (line[0] == '#' || space == absl::string_view::npos ||
        !absl::SimpleAtod(line.substr(space + 1), &sample.value)) {
      continue;
    }
    const absl::string_view series = line.substr(0, space);
    const size_t brace = series.find('{');
    sample.name.assign(series.data(), std::min(brace, series.size()));
    if (brace != absl::string_view::npos) {
      sample.labels = ParseLabels(series.substr(brace + 1, series.size() - brace - 2));
    }
    samples.push_back(std::move(sample));
  }
  return samples;
}

}  // namespace pomelotray
