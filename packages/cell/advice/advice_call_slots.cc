#include "cell/advice/advice_call_slots.h"

#include <algorithm>
#include <utility>

#include "cell/membership/pool_part.h"

namespace pomelotray {
namespace {

// One of this many instances is reserved for short questions. In the busiest pools, long questions
// occupied 22 of 36 instances all the time, and short questions at twice their usual rate occupied
// three.
constexpr size_t kMembersPerShortMember = 4;
// One of this many instances for long questions is left free by questions that yield. The usual
// load of the busiest pools leaves a fifth of them free.
constexpr size_t kMembersPerFreeMember = 4;
// Number of different initial values of Member::last_used. They are zero or negative, so that
// members that were never used come before all others.
constexpr uint64_t kInitialRanks = 1000;

}  // namespace

AdviceCallSlots::AdviceCallSlots(InstanceId self) : self_(std::move(self)) {}

void AdviceCallSlots::SetMembers(const std::vector<InstanceId>& members) {
  for (auto it = members_.begin(); it != members_.end();) {
    const bool present = std::find(members.begin(), members.end(), it->first) != members.end();
    it = present ? std::next(it) : members_.erase(it);
  }
  for (const InstanceId& id : members) {
    if (members_.count(id) == 0) {
      const uint64_t rank = StableHash(self_.value() + "/" + id.value()) % kInitialRanks;
      members_[id].last_used = -static_cast<int64_t>(rank);
    }
  }
  PartitionMembers();
}

void AdviceCallSlots::PartitionMembers() {
  const size_t short_members =
      (members_.size() + kMembersPerShortMember - 1) / kMembersPerShortMember;
  const size_t long_members = std::max<size_t>(members_.size() - short_members, 1);
  size_t index = 0;
  for (auto& [id, member] : members_) {
    member.accepts_long = index < long_members;
    member.accepts_short = !member.accepts_long || members_.size() == 1;
    ++index;
  }
}

std::optional<size_t> AdviceCallSlots::FreeSlotIndex(Preference preference, const Member& member) {
  switch (preference) {
    case Preference::kLongSlot:
    case Preference::kSpareLongSlot:
      return member.accepts_long && !member.busy[0] ? std::optional<size_t>(0) : std::nullopt;
    case Preference::kShortSlot:
      return member.accepts_short && !member.busy[0] ? std::optional<size_t>(0) : std::nullopt;
    case Preference::kSecondShortSlot:
      return member.accepts_short && !member.busy[1] ? std::optional<size_t>(1) : std::nullopt;
  }
  return std::nullopt;
}

std::optional<AdviceCallSlot> AdviceCallSlots::AcquireLeastRecentlyUsed(Preference preference) {
  std::pair<const InstanceId, Member>* best = nullptr;
  for (std::pair<const InstanceId, Member>& entry : members_) {
    if (FreeSlotIndex(preference, entry.second).has_value() &&
        (best == nullptr || entry.second.last_used < best->second.last_used)) {
      best = &entry;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  const size_t index = *FreeSlotIndex(preference, best->second);
  best->second.busy[index] = true;
  best->second.last_used = ++uses_;
  return AdviceCallSlot{best->first, index, std::nullopt};
}

std::optional<AdviceCallSlot> AdviceCallSlots::Acquire(QuestionLength length) {
  if (length == QuestionLength::kLong) {
    return AcquireLeastRecentlyUsed(Preference::kLongSlot);
  }
  for (const Preference preference :
       {Preference::kShortSlot, Preference::kSecondShortSlot, Preference::kSpareLongSlot}) {
    std::optional<AdviceCallSlot> slot = AcquireLeastRecentlyUsed(preference);
    if (slot.has_value()) {
      return slot;
    }
  }
  return std::nullopt;
}

size_t& AdviceCallSlots::YieldingCalls(QuestionLength length) {
  return length == QuestionLength::kLong ? yielding_long_calls_ : yielding_short_calls_;
}

std::optional<AdviceCallSlot> AdviceCallSlots::AcquireYielding(QuestionLength length) {
  size_t accepting = 0;
  size_t free = 0;
  for (const auto& [id, member] : members_) {
    accepting += member.accepts_long ? 1 : 0;
    free += FreeSlotIndex(Preference::kLongSlot, member).has_value() ? 1 : 0;
  }
  std::optional<AdviceCallSlot> slot;
  if (free > (accepting + kMembersPerFreeMember - 1) / kMembersPerFreeMember) {
    slot = AcquireLeastRecentlyUsed(Preference::kLongSlot);
  } else if (YieldingCalls(length) == 0) {
    slot = Acquire(length);
  }
  if (slot.has_value()) {
    slot->yielding = length;
    ++YieldingCalls(length);
  }
  return slot;
}

void AdviceCallSlots::Release(const AdviceCallSlot& slot) {
  if (slot.yielding.has_value()) {
    --YieldingCalls(*slot.yielding);
  }
  const auto member = members_.find(slot.member);
  if (member != members_.end()) {
    member->second.busy[slot.index] = false;
  }
}

}  // namespace pomelotray
