#ifndef POMELOTRAY_BASE_RESOURCES_H_
#define POMELOTRAY_BASE_RESOURCES_H_

#include <ostream>

#include "base/strong_number.h"

namespace pomelotray {

// What a task needs, a worker has, or a contract may hold. Tasks on workers use cpu, memory and
// accelerators; interactive requests use slots.
struct Resources {
  MilliCores cpu;
  MebiBytes memory;
  AcceleratorCount accelerators;
  SlotCount slots;

  // True when this demand fits into `capacity` in every dimension.
  bool FitsInto(const Resources& capacity) const;
  bool IsZero() const;
  bool AnyNegative() const;

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
};

Resources operator+(Resources a, const Resources& b);
Resources operator-(Resources a, const Resources& b);
Resources operator*(const Resources& a, int64_t factor);
bool operator==(const Resources& a, const Resources& b);
bool operator!=(const Resources& a, const Resources& b);

// Component-wise minimum and maximum.
Resources Min(const Resources& a, const Resources& b);
Resources Max(const Resources& a, const Resources& b);

// The largest of the ratios demand/capacity over all dimensions; dimensions of zero capacity are
// skipped.
double DominantShare(const Resources& demand, const Resources& capacity);

std::ostream& operator<<(std::ostream& out, const Resources& r);

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_RESOURCES_H_
