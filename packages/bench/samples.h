#ifndef POMELOTRAY_BENCH_SAMPLES_H_
#define POMELOTRAY_BENCH_SAMPLES_H_

#include <cstddef>
#include <vector>

namespace pomelotray {

// Collects measurements and computes their mean and quantiles.
class Samples {
 public:
  void Add(double value) { values_.push_back(value); }
  void Merge(const Samples& other) {
    values_.insert(values_.end(), other.values_.begin(), other.values_.end());
  }
  size_t count() const { return values_.size(); }
  // Returns the mean, or 0 if there are no samples.
  double Mean() const;
  // Returns the smallest sample such that at least `fraction` of all samples are less than or equal
  // to it, or 0 if there are no samples.
  double Quantile(double fraction) const;

 private:
  std::vector<double> values_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_BENCH_SAMPLES_H_
