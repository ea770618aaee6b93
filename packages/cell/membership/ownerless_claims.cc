#include "cell/membership/ownerless_claims.h"

#include <utility>

namespace pomelotray {

void OwnerlessClaims::Update(const std::map<PartName, PartClaim>& claims,
                             const std::map<InstanceId, CellMember>& members, absl::Time now) {
  std::map<PartName, Absence> absences;
  for (const auto& [part, claim] : claims) {
    if (members.count(claim.owner.id) > 0) {
      continue;
    }
    const auto known = absences_.find(part);
    const bool same = known != absences_.end() && known->second.claim == claim.revision;
    absences[part] = Absence{claim.revision, same ? known->second.since : now};
  }
  absences_ = std::move(absences);
}

absl::Time OwnerlessClaims::Since(const PartName& part) const {
  const auto it = absences_.find(part);
  return it == absences_.end() ? absl::InfiniteFuture() : it->second.since;
}

}  // namespace pomelotray
