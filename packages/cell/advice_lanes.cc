#include "cell/advice_lanes.h"

#include <algorithm>
#include <utility>

#include "cell/pool_part.h"

namespace pomelotray {
namespace {

// One instance of this many is left to short questions. At the busiest pools, long questions took
// 22 of 36 instances all the time, and short ones, with twice their usual rate, three.
constexpr size_t kMembersPerShortLane = 4;
// Bounds the first values of Member::last_used, so that each use counts for more.
constexpr uint64_t kFirstRanks = 1000;

}  // namespace

AdviceLanes::AdviceLanes(InstanceId self) : self_(std::move(self)) {}

void AdviceLanes::SetMembers(const std::vector<InstanceId>& members) {
  for (auto it = members_.begin(); it != members_.end();) {
    const bool present = std::find(members.begin(), members.end(), it->first) != members.end();
    it = present ? std::next(it) : members_.erase(it);
  }
  for (const InstanceId& id : members) {
    if (members_.count(id) == 0) {
      const uint64_t rank = StableHash(self_.value() + "/" + id.value()) % kFirstRanks;
      members_[id].last_used = -static_cast<int64_t>(rank);
    }
  }
  ShareOut();
}

void AdviceLanes::ShareOut() {
  const size_t short_members = (members_.size() + kMembersPerShortLane - 1) / kMembersPerShortLane;
  const size_t long_members = std::max<size_t>(members_.size() - short_members, 1);
  size_t index = 0;
  for (auto& [id, member] : members_) {
    member.takes_long = index < long_members;
    member.takes_short = !member.takes_long || members_.size() == 1;
    ++index;
  }
}

std::optional<size_t> AdviceLanes::SlotFor(Preference preference, const Member& member) {
  switch (preference) {
    case Preference::kLongLane:
    case Preference::kSpareLongLane:
      return member.takes_long && !member.busy[0] ? std::optional<size_t>(0) : std::nullopt;
    case Preference::kShortLane:
      return member.takes_short && !member.busy[0] ? std::optional<size_t>(0) : std::nullopt;
    case Preference::kSecondShortLane:
      return member.takes_short && !member.busy[1] ? std::optional<size_t>(1) : std::nullopt;
  }
  return std::nullopt;
}

std::optional<AdviceLane> AdviceLanes::TakeFirst(Preference preference) {
  std::pair<const InstanceId, Member>* best = nullptr;
  for (std::pair<const InstanceId, Member>& entry : members_) {
    if (SlotFor(preference, entry.second).has_value() &&
        (best == nullptr || entry.second.last_used < best->second.last_used)) {
      best = &entry;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  const size_t slot = *SlotFor(preference, best->second);
  best->second.busy[slot] = true;
  best->second.last_used = ++uses_;
  return AdviceLane{best->first, slot};
}

std::optional<AdviceLane> AdviceLanes::Take(QuestionLength length) {
  if (length == QuestionLength::kLong) {
    return TakeFirst(Preference::kLongLane);
  }
  for (const Preference preference :
       {Preference::kShortLane, Preference::kSecondShortLane, Preference::kSpareLongLane}) {
    std::optional<AdviceLane> lane = TakeFirst(preference);
    if (lane.has_value()) {
      return lane;
    }
  }
  return std::nullopt;
}

void AdviceLanes::Release(const AdviceLane& lane) {
  const auto member = members_.find(lane.member);
  if (member != members_.end()) {
    member->second.busy[lane.slot] = false;
  }
}

}  // namespace pomelotray
