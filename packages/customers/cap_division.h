#ifndef POMELOTRAY_CUSTOMERS_CAP_DIVISION_H_
#define POMELOTRAY_CUSTOMERS_CAP_DIVISION_H_

#include <cstddef>
#include <vector>

#include "customers/cap_dimensions.h"

namespace pomelotray {

// What one pool part brings into the division of a cap.
struct CapClaim {
  CapAmounts used{};
  CapAmounts waiting{};
  // The largest amount of `waiting` that is of use only as a whole.
  CapAmounts unit{};
  CapAmounts capacity{};
};

// Divides `cap` among the parts: each gets what it uses, then what it waits for, and then a share
// of the rest in proportion to its capacity. If what waits does not fit, each part first gets one
// unit as long as units fit, so that large tasks are not kept waiting by fragments of the cap; this
// begins with part `first`. The remainder is divided with max-min fairness. Dimensions without a
// limit get kNoLimit.
std::vector<CapAmounts> DivideCap(const CapAmounts& cap, const std::vector<CapClaim>& claims,
                                  size_t first);

}  // namespace pomelotray

#endif  // POMELOTRAY_CUSTOMERS_CAP_DIVISION_H_
