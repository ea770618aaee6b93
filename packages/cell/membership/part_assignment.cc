#include "cell/membership/part_assignment.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace pomelotray {

std::map<PartName, InstanceId> AssignParts(const std::vector<PartName>& parts,
                                           const std::vector<CellMember>& members) {
  std::map<PartName, InstanceId> assigned;
  if (members.empty()) {
    return assigned;
  }
  std::vector<PartName> sorted = parts;
  std::sort(sorted.begin(), sorted.end());
  std::map<InstanceId, int> load;
  for (const PartName& part : sorted) {
    // Picks the member with the most CPU capacity per part that it would then own.
    const auto key = [&](const CellMember& member) {
      return std::make_tuple(member.cpu_milli / (load[member.id] + 1),
                             absl::ToUnixSeconds(member.started),
                             StableHash(part.value() + "/" + member.id.value()));
    };
    const CellMember* best = &members.front();
    for (const CellMember& member : members) {
      if (key(member) > key(*best)) {
        best = &member;
      }
    }
    assigned[part] = best->id;
    ++load[best->id];
  }
  return assigned;
}

}  // namespace pomelotray
