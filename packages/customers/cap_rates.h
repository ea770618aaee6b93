#ifndef POMELOTRAY_CUSTOMERS_CAP_RATES_H_
#define POMELOTRAY_CUSTOMERS_CAP_RATES_H_

#include "base/strong_id.h"

namespace pomelotray {

// The job rates that the calls about caps carry between the owners of the pool parts. The owner
// calls all functions under its lock.
class CapRates {
 public:
  virtual ~CapRates() = default;
  // Returns the jobs per second that this owner has counted as within the customer's rate over the
  // last second.
  virtual double Rate(const CustomerId& customer) const = 0;
  // Sets the sum of the rates that all other owners have counted.
  virtual void SetRateElsewhere(const CustomerId& customer, double rate) = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CUSTOMERS_CAP_RATES_H_
