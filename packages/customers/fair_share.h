#ifndef POMELOTRAY_CUSTOMERS_FAIR_SHARE_H_
#define POMELOTRAY_CUSTOMERS_FAIR_SHARE_H_

#include <vector>

#include "base/resources.h"

namespace pomelotray {

// A customer, or all jobs without one, as one of those that compete for a pool.
struct ShareGroup {
  // Greater than 0.
  double weight = 1;
  // What the group has running, and what its waiting tasks need.
  Resources used;
  Resources waiting;
};

// The dominant shares of the pool that are due to a group: the largest of its shares in processors,
// memory and accelerators, from 0 to 1.
struct ShareParts {
  // The group's fraction of the weights of all active groups. 0 if the group is not active.
  double guaranteed = 0;
  // What the group gets if those that need less than their fractions leave the rest to the others.
  // At most what it needs.
  double entitled = 0;
};

// Whether the waiting tasks do not fit into the free capacity, in a dimension that they need.
bool IsContended(const Resources& waiting, const Resources& free);

// Divides a pool among groups by weighted dominant-resource fairness (Ghodsi et al., NSDI 2011):
// raises the dominant shares of all groups in proportion to their weights until each has what it
// needs or a dimension that it needs is used up. So no group would rather have another one's part,
// scaled by their weights, and no capacity is left that a group could use. Groups that neither use
// nor need anything are not active. Returns the parts in the order of `groups`.
std::vector<ShareParts> DivideCapacity(const Resources& capacity,
                                       const std::vector<ShareGroup>& groups);

}  // namespace pomelotray

#endif  // POMELOTRAY_CUSTOMERS_FAIR_SHARE_H_
