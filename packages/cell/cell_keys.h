#ifndef POMELOTRAY_CELL_CELL_KEYS_H_
#define POMELOTRAY_CELL_CELL_KEYS_H_

#include <string>

#include "cell/pool_part.h"

namespace pomelotray {

// Names of the product's own entries in the platform's store.
namespace cell_keys {

inline constexpr char kControlPrefix[] = "pomelotray/control/";
inline constexpr char kMemberPrefix[] = "pomelotray/control/members/";
inline constexpr char kClaimPrefix[] = "pomelotray/control/claims/";
inline constexpr char kTermPrefix[] = "pomelotray/control/terms/";
// How many parts each pool has; written once.
inline constexpr char kPartCountPrefix[] = "pomelotray/control/parts/";
inline constexpr char kPeerKey[] = "pomelotray/peer-key";

inline std::string Member(const InstanceId& id) { return kMemberPrefix + id.value(); }
inline std::string PartCount(const PoolName& pool) { return kPartCountPrefix + pool.value(); }
inline std::string Claim(const PartName& part) { return kClaimPrefix + part.value(); }
inline std::string Term(const PartName& part) { return kTermPrefix + part.value(); }
inline std::string Roster(const PartName& part) { return "pomelotray/roster/" + part.value(); }

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
// Final states. Apart from the open jobs, which a new owner reads before it starts anything.
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

#endif  // POMELOTRAY_CELL_CELL_KEYS_H_
