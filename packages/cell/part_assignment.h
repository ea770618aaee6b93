#ifndef POMELOTRAY_CELL_PART_ASSIGNMENT_H_
#define POMELOTRAY_CELL_PART_ASSIGNMENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/strong_id.h"
#include "cell/pool_part.h"

namespace pomelotray {

struct CellMember {
  InstanceId id;
  std::string peer_address;
  // Processor share of its VM in thousandths of a core: how much it should own.
  int64_t cpu_milli = 1000;
  // When its process started, by its own clock.
  absl::Time started = absl::UnixEpoch();

  friend bool operator==(const CellMember& a, const CellMember& b) {
    return a.id == b.id && a.peer_address == b.peer_address && a.cpu_milli == b.cpu_milli;
  }
};

// Chooses the instance that should own each part: spreads parts over members by their processor
// shares, stable while the members stay. Of equal members, the one that started last: when all VMs
// are stopped and started in turn, it is the last to be stopped again.
std::map<PartName, InstanceId> AssignParts(const std::vector<PartName>& parts,
                                           const std::vector<CellMember>& members);

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_PART_ASSIGNMENT_H_
