#ifndef POMELOTRAY_CELL_MEMBERSHIP_PART_ASSIGNMENT_H_
#define POMELOTRAY_CELL_MEMBERSHIP_PART_ASSIGNMENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/strong_id.h"
#include "cell/membership/pool_part.h"

namespace pomelotray {

struct CellMember {
  InstanceId id;
  std::string peer_address;
  // CPU capacity of the instance's VM in thousandths of a core. An instance is assigned parts in
  // proportion to it.
  int64_t cpu_milli = 1000;
  // Start time of the instance's process, by the clock of its VM.
  absl::Time started = absl::UnixEpoch();

  friend bool operator==(const CellMember& a, const CellMember& b) {
    return a.id == b.id && a.peer_address == b.peer_address && a.cpu_milli == b.cpu_milli;
  }
};

// Assigns an owner to each part, in proportion to the CPU capacity of the members. The result is
// the same for the same members. Among members with equal load, the one that started last is
// preferred: during a rolling restart of all VMs, it is the last one to be stopped again.
std::map<PartName, InstanceId> AssignParts(const std::vector<PartName>& parts,
                                           const std::vector<CellMember>& members);

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_MEMBERSHIP_PART_ASSIGNMENT_H_
