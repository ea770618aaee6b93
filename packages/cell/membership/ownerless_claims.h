#ifndef POMELOTRAY_CELL_MEMBERSHIP_OWNERLESS_CLAIMS_H_
#define POMELOTRAY_CELL_MEMBERSHIP_OWNERLESS_CLAIMS_H_

#include <map>

#include "absl/time/time.h"
#include "base/strong_id.h"
#include "cell/membership/part_assignment.h"
#include "cell/membership/part_claim.h"

namespace pomelotray {

// Tracks the claims whose owner is not a member, and since when. Not thread-safe.
class OwnerlessClaims {
 public:
  // Takes the claims and members that are known at `now`.
  void Update(const std::map<PartName, PartClaim>& claims,
              const std::map<InstanceId, CellMember>& members, absl::Time now);
  // Returns since when the owner of the part's claim has not been a member; the infinite future if
  // it is one or if the part has no claim.
  absl::Time Since(const PartName& part) const;

 private:
  struct Absence {
    Revision claim;
    absl::Time since;
  };

  std::map<PartName, Absence> absences_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_MEMBERSHIP_OWNERLESS_CLAIMS_H_
