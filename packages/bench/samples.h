#ifndef POMELOTRAY_BENCH_SAMPLES_H_
#define POMELOTRAY_BENCH_SAMPLES_H_

#include <cstddef>
#include <vector>

namespace pomelotray {

// Collected measurements and their quantiles.
class Samples {
 public:
  void Add(double value) { values_.push_back(value); }
  void Merge(const Samples& other) {
    values_.insert(values_.end(), other.values_.begin(), other.values_.end());
  }
  size_t count() const { return values_.size(); }
  double Mean() const;
  // The smallest sample that at least this fraction of the samples do not exceed; 0 without
  // samples.
  double Quantile(double fraction) const;

 private:
  std::vector<double> values_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_BENCH_SAMPLES_H_
