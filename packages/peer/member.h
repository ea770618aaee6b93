#ifndef POMELOTRAY_PEER_MEMBER_H_
#define POMELOTRAY_PEER_MEMBER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/shard_id.h"
#include "base/strong_id.h"
#include "base/strong_number.h"

namespace pomelotray {

enum class MemberState { kLive, kSuspect, kLeaving, kDead };

const char* MemberStateName(MemberState state);

// One instance as this instance knows it.
struct Member {
  InstanceId id;
  FailureDomainId domain;
  RegionId region;
  // "<ip>:<port>" of the listeners for other instances and for callers.
  std::string peer_address;
  std::string api_address;
  int64_t incarnation = 0;
  // Counts changes of the instance's own description within an incarnation.
  int64_t version = 0;
  MemberState state = MemberState::kLive;
  // As of the last direct exchange.
  Revision configuration_revision;
  std::vector<ShardId> owned_shards;
  // Last direct exchange, or when the member was first heard of.
  absl::Time last_heard;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_PEER_MEMBER_H_
