#include "base/resources.h"

#include <algorithm>

namespace pomelotray {

bool Resources::FitsInto(const Resources& capacity) const {
  return cpu <= capacity.cpu && memory <= capacity.memory &&
         accelerators <= capacity.accelerators && slots <= capacity.slots;
}

bool Resources::IsZero() const { return *this == Resources{}; }

bool Resources::AnyNegative() const {
  return cpu.value() < 0 || memory.value() < 0 || accelerators.value() < 0 || slots.value() < 0;
}

Resources& Resources::operator+=(const Resources& other) {
  cpu += other.cpu;
  memory += other.memory;
  accelerators += other.accelerators;
  slots += other.slots;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  cpu -= other.cpu;
  memory -= other.memory;
  accelerators -= other.accelerators;
  slots -= other.slots;
  return *this;
}

Resources operator+(Resources a, const Resources& b) { return a += b; }
Resources operator-(Resources a, const Resources& b) { return a -= b; }

Resources operator*(const Resources& a, int64_t factor) {
  return {a.cpu * factor, a.memory * factor, a.accelerators * factor, a.slots * factor};
}

bool operator==(const Resources& a, const Resources& b) {
  return a.cpu == b.cpu && a.memory == b.memory && a.accelerators == b.accelerators &&
         a.slots == b.slots;
}

bool operator!=(const Resources& a, const Resources& b) { return !(a == b); }

Resources Min(const Resources& a, const Resources& b) {
  return {std::min(a.cpu, b.cpu), std::min(a.memory, b.memory),
          std::min(a.accelerators, b.accelerators), std::min(a.slots, b.slots)};
}

Resources Max(const Resources& a, const Resources& b) {
  return {std::max(a.cpu, b.cpu), std::max(a.memory, b.memory),
          std::max(a.accelerators, b.accelerators), std::max(a.slots, b.slots)};
}

double DominantShare(const Resources& demand, const Resources& capacity) {
  double share = 0;
  const auto consider = [&share](int64_t part, int64_t whole) {
    if (whole > 0) {
      share = std::max(share, static_cast<double>(part) / static_cast<double>(whole));
    }
  };
  consider(demand.cpu.value(), capacity.cpu.value());
  consider(demand.memory.value(), capacity.memory.value());
  consider(demand.accelerators.value(), capacity.accelerators.value());
  consider(demand.slots.value(), capacity.slots.value());
  return share;
}

std::ostream& operator<<(std::ostream& out, const Resources& r) {
  return out << "{cpu " << r.cpu << "m, memory " << r.memory << " MiB, accelerators "
             << r.accelerators << ", slots " << r.slots << "}";
}

}  // namespace pomelotray
