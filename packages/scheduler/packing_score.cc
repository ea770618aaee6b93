#include "scheduler/packing_score.h"

#include <algorithm>
#include <cmath>

namespace pomelotray {
namespace {

constexpr double kStrandedWeight = 4.0;
constexpr double kAcceleratorWeight = 1.0;
constexpr double kUnusedWeight = 0.5;
constexpr double kImbalanceWeight = 0.5;

double Fraction(int64_t part, int64_t whole) {
  return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

}  // namespace

double StrandedAccelerators(const Resources& capacity, const Resources& free) {
  const double total = static_cast<double>(capacity.accelerators.value());
  if (total <= 0) {
    return 0;
  }
  const double free_accelerators = static_cast<double>(free.accelerators.value());
  const double served = total * std::min(Fraction(free.cpu.value(), capacity.cpu.value()),
                                         Fraction(free.memory.value(), capacity.memory.value()));
  return std::max(0.0, free_accelerators - served);
}

double PackingScore(const Resources& capacity, const Resources& free, const Resources& demand) {
  const Resources left = free - demand;
  const double cpu = Fraction(left.cpu.value(), capacity.cpu.value());
  const double memory = Fraction(left.memory.value(), capacity.memory.value());
  const double stranded =
      StrandedAccelerators(capacity, left) - StrandedAccelerators(capacity, free);
  return kStrandedWeight * stranded +
         kAcceleratorWeight * Fraction(left.accelerators.value(), capacity.accelerators.value()) +
         kUnusedWeight * (cpu + memory) + kImbalanceWeight * std::abs(cpu - memory);
}

}  // namespace pomelotray
