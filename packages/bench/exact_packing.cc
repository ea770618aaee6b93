#include "bench/exact_packing.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace pomelotray {
namespace {

class Search {
 public:
  Search(std::vector<Resources> workers, std::vector<Resources> tasks)
      : free_(std::move(workers)), tasks_(std::move(tasks)) {
    // Large tasks first make the bound effective early.
    std::sort(tasks_.begin(), tasks_.end(), [](const Resources& a, const Resources& b) {
      return PackedValue(a) > PackedValue(b);
    });
    rest_.assign(tasks_.size() + 1, 0);
    for (size_t i = tasks_.size(); i-- > 0;) {
      rest_[i] = rest_[i + 1] + PackedValue(tasks_[i]);
    }
  }

  double Run() {
    Visit(0, 0);
    return best_;
  }

 private:
  void Visit(size_t task, double value) {
    best_ = std::max(best_, value);
    if (task == tasks_.size() || value + rest_[task] <= best_) {
      return;
    }
    for (size_t i = 0; i < free_.size(); ++i) {
      // Workers with equal room are interchangeable.
      const bool repeated = std::find(free_.begin(), free_.begin() + static_cast<std::ptrdiff_t>(i),
                                      free_[i]) != free_.begin() + static_cast<std::ptrdiff_t>(i);
      if (repeated || !tasks_[task].FitsInto(free_[i])) {
        continue;
      }
      free_[i] -= tasks_[task];
      Visit(task + 1, value + PackedValue(tasks_[task]));
      free_[i] += tasks_[task];
    }
    Visit(task + 1, value);
  }

  std::vector<Resources> free_;
  std::vector<Resources> tasks_;
  std::vector<double> rest_;
  double best_ = 0;
};

}  // namespace

double PackedValue(const Resources& demand) {
  constexpr double kValuePerCore = 0.01;
  return static_cast<double>(demand.accelerators.value()) +
         kValuePerCore * static_cast<double>(demand.cpu.value()) / 1000;
}

double BestPackedValue(std::vector<Resources> workers, std::vector<Resources> tasks) {
  return Search(std::move(workers), std::move(tasks)).Run();
}

}  // namespace pomelotray
