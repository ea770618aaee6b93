#ifndef POMELOTRAY_SCHEDULER_LIMIT_SOURCE_H_
#define POMELOTRAY_SCHEDULER_LIMIT_SOURCE_H_

#include "base/resources.h"
#include "base/strong_id.h"

namespace pomelotray {

// Provides the current resource limit of a customer in this shard, called its slice, and the weight
// from its contract. Both may change between two calls.
class LimitSource {
 public:
  virtual ~LimitSource() = default;

  // The resources that the customer may have reserved or in use at the same time.
  virtual Resources ResourceLimit(const CustomerId& customer) const = 0;
  // The weight from the contract of the customer; greater than 0.
  virtual double Weight(const CustomerId& customer) const = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_LIMIT_SOURCE_H_
