#include "scheduler/task_fit.h"

#include <algorithm>

namespace pomelotray {

int64_t TasksThatFit(const Resources& free, const Resources& demand, int64_t limit) {
  int64_t count = limit;
  const auto limit_count = [&count](int64_t have, int64_t need) {
    if (need > 0) {
      count = std::min(count, std::max<int64_t>(have, 0) / need);
    }
  };
  limit_count(free.cpu.value(), demand.cpu.value());
  limit_count(free.memory.value(), demand.memory.value());
  limit_count(free.accelerators.value(), demand.accelerators.value());
  limit_count(free.slots.value(), demand.slots.value());
  return count;
}

}  // namespace pomelotray
