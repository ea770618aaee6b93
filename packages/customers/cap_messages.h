#ifndef POMELOTRAY_CUSTOMERS_CAP_MESSAGES_H_
#define POMELOTRAY_CUSTOMERS_CAP_MESSAGES_H_

#include <cstdint>
#include <map>
#include <optional>

#include "base/resources.h"
#include "base/strong_id.h"

namespace pomelotray {

// The same type as in cell/membership/pool_part.h, on which this package does not depend.
using PartName = StrongId<struct PartNameTag>;

// What the coordinator tells the owner of one pool part about a customer.
struct CapGrant {
  // The most that the customer may have running in the part; kNoLimit in dimensions without a
  // limit. Without a value, the earlier allowance stays in force.
  std::optional<Resources> allowance;
  // The cap that the allowance is a part of. An owner whose configuration has a lower cap reduces
  // the allowance in proportion, so that a lower cap holds before the coordinator applies it.
  Resources cap;
  // Jobs per second within the customer's rate that the other owners have counted.
  double rate_elsewhere = 0;
};

// A call of the coordinator to the owner of a pool part.
struct CapCall {
  // The part that is called, and the term of the claim of the owner that is meant.
  PartName part;
  int64_t owner_term = 0;
  // The coordinator's own part, the term of its claim, and a number that increases with each call.
  PartName coordinator;
  int64_t coordinator_term = 0;
  int64_t sequence = 0;
  std::map<CustomerId, CapGrant> customers;
};

// What an owner reports about one customer.
struct CapUse {
  // What known attempts use, from the decision to start them until their end is known.
  Resources used;
  // What attempts of earlier owners that are not known yet may use in addition.
  Resources inherited;
  // Demand of tasks that could start now, as far as the part has free capacity for it.
  Resources waiting;
  // The largest demand among these that starts only as a whole: that of a task or of a gang.
  Resources unit;
  // The allowance in force; no value if the owner has never been told one.
  std::optional<Resources> allowance;
  // Jobs per second that the owner has counted as within the customer's rate.
  double rate = 0;
};

// An owner's answer to a CapCall. Customers that it does not name use nothing and have no
// allowance.
struct CapReport {
  int64_t owner_term = 0;
  // Sequence number of the call that is answered.
  int64_t sequence = 0;
  // Capacity of the part's workers.
  Resources capacity;
  std::map<CustomerId, CapUse> customers;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CUSTOMERS_CAP_MESSAGES_H_
