#include "bench/exact_packing.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace pomelotray {
namespace {

class BranchAndBound {
 public:
  BranchAndBound(std::vector<Resources> workers, std::vector<Resources> tasks)
      : free_(std::move(workers)), tasks_(std::move(tasks)) {
    // Visiting tasks by decreasing value makes the upper bound prune earlier.
    std::sort(tasks_.begin(), tasks_.end(), [](const Resources& a, const Resources& b) {
      return PackedValue(a) > PackedValue(b);
    });
    remaining_value_.assign(tasks_.size() + 1, 0);
    for (size_t i = tasks_.size(); i-- > 0;) {
      remaining_value_[i] = remaining_value_[i + 1] + PackedValue(tasks_[i]);
    }
  }

  double Run() {
    Visit(0, 0);
    return best_;
  }

 private:
  void Visit(size_t task, double value) {
    best_ = std::max(best_, value);
    if (task == tasks_.size() || value + remaining_value_[task] <= best_) {
      return;
    }
    for (size_t i = 0; i < free_.size(); ++i) {
      // Workers with the same free capacity are interchangeable; only the first is tried.
      const bool equivalent =
          std::find(free_.begin(), free_.begin() + static_cast<std::ptrdiff_t>(i), free_[i]) !=
          free_.begin() + static_cast<std::ptrdiff_t>(i);
      if (equivalent || !tasks_[task].FitsInto(free_[i])) {
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
  std::vector<double> remaining_value_;
  double best_ = 0;
};

}  // namespace

double PackedValue(const Resources& demand) {
  constexpr double kValuePerCore = 0.01;
  return static_cast<double>(demand.accelerators.value()) +
         kValuePerCore * static_cast<double>(demand.cpu.value()) / 1000;
}

double BestPackedValue(std::vector<Resources> workers, std::vector<Resources> tasks) {
  return BranchAndBound(std::move(workers), std::move(tasks)).Run();
}

}  // namespace pomelotray
