#include "bench/samples.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace pomelotray {

double Samples::Mean() const {
  return values_.empty() ? 0
                         : std::accumulate(values_.begin(), values_.end(), 0.0) /
                               static_cast<double>(values_.size());
}

double Samples::Quantile(double fraction) const {
  if (values_.empty()) {
    return 0;
  }
  std::vector<double> sorted = values_;
  const double rank = std::ceil(fraction * static_cast<double>(sorted.size()));
  const size_t index = std::min(sorted.size() - 1, static_cast<size_t>(std::max(1.0, rank)) - 1);
  std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(index),
                   sorted.end());
  return sorted[index];
}

}  // namespace pomelotray
