#ifndef POMELOTRAY_SCHEDULER_LIMIT_SOURCE_H_
#define POMELOTRAY_SCHEDULER_LIMIT_SOURCE_H_

#include "base/resources.h"
#include "base/strong_id.h"

namespace pomelotray {

// Tells what a customer may hold in this shard at the moment (its slice) and its contract weight.
// Both may change between two calls.
class LimitSource {
 public:
  virtual ~LimitSource() = default;

  virtual Resources HoldLimit(const CustomerId& customer) const = 0;
  // Greater than 0.
  virtual double Weight(const CustomerId& customer) const = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_LIMIT_SOURCE_H_
