#ifndef POMELOTRAY_CELL_CELL_KEYS_H_
#define POMELOTRAY_CELL_CELL_KEYS_H_

#include <string>

#include "base/strong_id.h"

namespace pomelotray {

// Names of the product's own entries in the platform's store.
namespace cell_keys {

inline constexpr char kControlPrefix[] = "pomelotray/control/";
inline constexpr char kMemberPrefix[] = "pomelotray/control/members/";
inline constexpr char kClaimPrefix[] = "pomelotray/control/claims/";
inline constexpr char kTermPrefix[] = "pomelotray/control/terms/";
inline constexpr char kPeerKey[] = "pomelotray/peer-key";

inline std::string Member(const InstanceId& id) { return kMemberPrefix + id.value(); }
inline std::string Claim(const PoolName& pool) { return kClaimPrefix + pool.value(); }
inline std::string Term(const PoolName& pool) { return kTermPrefix + pool.value(); }
inline std::string Roster(const PoolName& pool) { return "pomelotray/roster/" + pool.value(); }

inline std::string IntakePrefix(const PoolName& pool) {
  return "pomelotray/intake/" + pool.value() + "/";
}
inline std::string JobPrefix(const PoolName& pool) { return IntakePrefix(pool) + "job/"; }
inline std::string CancelPrefix(const PoolName& pool) { return IntakePrefix(pool) + "cancel/"; }
inline std::string Job(const PoolName& pool, const JobId& id) {
  return JobPrefix(pool) + id.value();
}
inline std::string Cancel(const PoolName& pool, const JobId& id) {
  return CancelPrefix(pool) + id.value();
}
inline std::string ProgressPrefix(const PoolName& pool) {
  return "pomelotray/progress/" + pool.value() + "/";
}
inline std::string Progress(const PoolName& pool, const JobId& id) {
  return ProgressPrefix(pool) + id.value();
}

}  // namespace cell_keys
}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_CELL_KEYS_H_
