#ifndef POMELOTRAY_CELL_RECORDS_CELL_KEYS_H_
#define POMELOTRAY_CELL_RECORDS_CELL_KEYS_H_

#include <string>

#include "cell/membership/pool_part.h"

namespace pomelotray {

// Keys of the entries that the cell scheduler keeps in the platform's metadata store.
namespace cell_keys {

inline constexpr char kControlPrefix[] = "pomelotray/control/";
inline constexpr char kMemberPrefix[] = "pomelotray/control/members/";
inline constexpr char kClaimPrefix[] = "pomelotray/control/claims/";
inline constexpr char kTermPrefix[] = "pomelotray/control/terms/";
// Number of parts of each pool. Written once and never changed.
inline constexpr char kPartCountPrefix[] = "pomelotray/control/parts/";
inline constexpr char kPeerKey[] = "pomelotray/peer-key";

inline std::string Member(const InstanceId& id) { return kMemberPrefix + id.value(); }
inline std::string PartCount(const PoolName& pool) { return kPartCountPrefix + pool.value(); }
inline std::string Claim(const PartName& part) { return kClaimPrefix + part.value(); }
inline std::string Term(const PartName& part) { return kTermPrefix + part.value(); }
// The workers on which attempts of the part may be running (see RosterEntry).
inline std::string Roster(const PartName& part) { return "pomelotray/roster/" + part.value(); }

// Names the job of an id, whichever part holds it (see JobIdRecord).
inline std::string JobIdEntry(const JobId& id) { return "pomelotray/ids/" + id.value(); }

// Ids that were withdrawn before a job was stored (see JobIdRecord). The owner of the part removes
// them. Apart from the intake, so that a takeover does not read them.
inline std::string WithdrawnPrefix(const PartName& part) {
  return "pomelotray/withdrawn/" + part.value() + "/";
}
inline std::string Withdrawn(const PartName& part, const JobId& id) {
  return WithdrawnPrefix(part) + id.value();
}

// Jobs and cancellations, as stored by the instance that accepted the request.
inline std::string IntakePrefix(const PartName& part) {
  return "pomelotray/intake/" + part.value() + "/";
}
inline std::string JobPrefix(const PartName& part) { return IntakePrefix(part) + "job/"; }
inline std::string CancelPrefix(const PartName& part) { return IntakePrefix(part) + "cancel/"; }
inline std::string Job(const PartName& part, const JobId& id) {
  return JobPrefix(part) + id.value();
}
inline std::string Cancel(const PartName& part, const JobId& id) {
  return CancelPrefix(part) + id.value();
}
// Final states of jobs. They have a prefix of their own so that a new owner, which reads all open
// jobs before it starts any task, does not have to read the finished ones first.
inline std::string FinishedPrefix(const PartName& part) {
  return "pomelotray/finished/" + part.value() + "/";
}
inline std::string Finished(const PartName& part, const JobId& id) {
  return FinishedPrefix(part) + id.value();
}
inline std::string ProgressPrefix(const PartName& part) {
  return "pomelotray/progress/" + part.value() + "/";
}
inline std::string Progress(const PartName& part, const JobId& id) {
  return ProgressPrefix(part) + id.value();
}

}  // namespace cell_keys
}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_RECORDS_CELL_KEYS_H_
