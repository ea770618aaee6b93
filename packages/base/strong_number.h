#ifndef POMELOTRAY_BASE_STRONG_NUMBER_H_
#define POMELOTRAY_BASE_STRONG_NUMBER_H_

#include <cstdint>
#include <ostream>
#include <utility>

namespace pomelotray {

// A 64-bit quantity or counter that cannot be mixed with numbers of another kind.
template <typename Tag>
class StrongNumber {
 public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(int64_t value) : value_(value) {}

  constexpr int64_t value() const { return value_; }

  StrongNumber& operator+=(StrongNumber other) {
    value_ += other.value_;
    return *this;
  }
  StrongNumber& operator-=(StrongNumber other) {
    value_ -= other.value_;
    return *this;
  }
  friend constexpr StrongNumber operator+(StrongNumber a, StrongNumber b) {
    return StrongNumber(a.value_ + b.value_);
  }
  friend constexpr StrongNumber operator-(StrongNumber a, StrongNumber b) {
    return StrongNumber(a.value_ - b.value_);
  }
  friend constexpr StrongNumber operator*(StrongNumber a, int64_t factor) {
    return StrongNumber(a.value_ * factor);
  }
  friend constexpr bool operator==(StrongNumber a, StrongNumber b) { return a.value_ == b.value_; }
  friend constexpr bool operator!=(StrongNumber a, StrongNumber b) { return a.value_ != b.value_; }
  friend constexpr bool operator<(StrongNumber a, StrongNumber b) { return a.value_ < b.value_; }
  friend constexpr bool operator<=(StrongNumber a, StrongNumber b) { return a.value_ <= b.value_; }
  friend constexpr bool operator>(StrongNumber a, StrongNumber b) { return a.value_ > b.value_; }
  friend constexpr bool operator>=(StrongNumber a, StrongNumber b) { return a.value_ >= b.value_; }
  friend std::ostream& operator<<(std::ostream& out, StrongNumber n) { return out << n.value_; }
  template <typename H>
  friend H AbslHashValue(H state, StrongNumber n) {
    return H::combine(std::move(state), n.value_);
  }

 private:
  int64_t value_ = 0;
};

using MilliCores = StrongNumber<struct MilliCoresTag>;
using MebiBytes = StrongNumber<struct MebiBytesTag>;
using AcceleratorCount = StrongNumber<struct AcceleratorCountTag>;
using SlotCount = StrongNumber<struct SlotCountTag>;
// Store-wide modification counter; 0 means "the key does not exist".
using Revision = StrongNumber<struct RevisionTag>;

}  // namespace pomelotray

#endif  // POMELOTRAY_BASE_STRONG_NUMBER_H_
