#ifndef POMELOTRAY_CELL_OWNERSHIP_CAP_OWNER_H_
#define POMELOTRAY_CELL_OWNERSHIP_CAP_OWNER_H_

#include "base/error.h"
#include "customers/cap_messages.h"

namespace pomelotray {

// The owner of a pool part as the coordinator of the caps sees it. Thread-safe.
class CapOwner {
 public:
  virtual ~CapOwner() = default;
  // Takes the allowances of the call and returns the state of the part. Errors: kFenced if the call
  // is older than one that was applied or is meant for another owner; kOwnerUnavailable before the
  // stored state is loaded and after the claim was lost.
  virtual Result<CapReport> ExchangeCaps(const CapCall& call) = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_OWNERSHIP_CAP_OWNER_H_
