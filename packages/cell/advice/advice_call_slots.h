#ifndef POMELOTRAY_CELL_ADVICE_ADVICE_CALL_SLOTS_H_
#define POMELOTRAY_CELL_ADVICE_ADVICE_CALL_SLOTS_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/strong_id.h"

namespace pomelotray {

// Expected duration of an adviser call. A question is long if its call takes longer than the slack
// of the shortest latency objective.
enum class QuestionLength { kShort, kLong };

// Permission for one outstanding call to the adviser through one instance.
struct AdviceCallSlot {
  InstanceId member;
  size_t index = 0;
  // The length of the question if it yields to others.
  std::optional<QuestionLength> yielding;
};

// Chooses the instance through which a question is sent. The adviser serves one call at a time for
// each VM, which causes two problems:
// - Head-of-line blocking: a short question waits behind a long one. Therefore every owner of
//   a pool part sends long questions only through the first three quarters of the instances.
// - Idle round trips: with one outstanding call, the adviser has no work from the VM while an
//   answer is in transit, which takes as long as a short question. Instances for short questions
//   therefore have a second slot, so that another call already waits at the adviser meanwhile.
// Thread-compatible.
class AdviceCallSlots {
 public:
  // `self` seeds the initial order, so that different owners start with different instances.
  explicit AdviceCallSlots(InstanceId self);

  void SetMembers(const std::vector<InstanceId>& members);
  // Reserves a free slot; returns no value if there is none for this length. Callers should reserve
  // slots for long questions first, since short questions may use the slots that remain.
  std::optional<AdviceCallSlot> Acquire(QuestionLength length);
  // The same for a question that yields to others. A call cannot be interrupted, so these questions
  // use only instances for long questions, of which a quarter stays free for those that come next.
  // One question of each length is sent in any case if a slot is free.
  std::optional<AdviceCallSlot> AcquireYielding(QuestionLength length);
  void Release(const AdviceCallSlot& slot);

 private:
  static constexpr size_t kSlotsPerMember = 2;
  struct Member {
    bool accepts_long = false;
    bool accepts_short = false;
    std::array<bool, kSlotsPerMember> busy = {};
    // Value of uses_ at the last reservation. The least recently used of several free members is
    // chosen. Zero or negative until the first use.
    int64_t last_used = 0;
  };
  enum class Preference { kLongSlot, kShortSlot, kSecondShortSlot, kSpareLongSlot };

  static std::optional<size_t> FreeSlotIndex(Preference preference, const Member& member);
  std::optional<AdviceCallSlot> AcquireLeastRecentlyUsed(Preference preference);
  // Returns the number of calls for questions of this length that yield.
  size_t& YieldingCalls(QuestionLength length);
  // Divides the members between long and short questions.
  void PartitionMembers();

  const InstanceId self_;
  std::map<InstanceId, Member> members_;
  int64_t uses_ = 0;
  size_t yielding_short_calls_ = 0;
  size_t yielding_long_calls_ = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_ADVICE_ADVICE_CALL_SLOTS_H_
