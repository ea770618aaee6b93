#ifndef POMELOTRAY_CELL_ADVICE_LANES_H_
#define POMELOTRAY_CELL_ADVICE_LANES_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/strong_id.h"

namespace pomelotray {

// How long the adviser works on a question, against the slack of the shortest objective.
enum class QuestionLength { kShort, kLong };

// One call of the adviser at a time, by way of one instance.
struct AdviceLane {
  InstanceId member;
  size_t slot = 0;
};

// Chooses the instance by way of which a question is put. The adviser serves one call at a time for
// each VM, which makes two patterns:
// - Head-of-line blocking: a short question behind a long one. Long questions go by way of the
//   first three quarters of the instances only, at every owner alike.
// - Idle round trips: with one call at a time, the adviser has nothing to do for the VM while the
//   answer travels, which is as long as a short question takes. Short questions have a second lane,
//   whose call waits at the adviser meanwhile.
// Thread-compatible.
class AdviceLanes {
 public:
  // `self` spreads the first choices of different owners over different instances.
  explicit AdviceLanes(InstanceId self);

  void SetMembers(const std::vector<InstanceId>& members);
  // Takes a free lane; no value while there is none for this length. Long questions are to be
  // placed first: short ones may take what they leave.
  std::optional<AdviceLane> Take(QuestionLength length);
  void Release(const AdviceLane& lane);

 private:
  static constexpr size_t kLanesPerMember = 2;
  struct Member {
    bool takes_long = false;
    bool takes_short = false;
    std::array<bool, kLanesPerMember> busy = {};
    // Orders members that are equally free: the least recently used first.
    int64_t last_used = 0;
  };
  enum class Preference { kLongLane, kShortLane, kSecondShortLane, kSpareLongLane };

  static std::optional<size_t> SlotFor(Preference preference, const Member& member);
  std::optional<AdviceLane> TakeFirst(Preference preference);
  void ShareOut();

  const InstanceId self_;
  std::map<InstanceId, Member> members_;
  int64_t uses_ = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_ADVICE_LANES_H_
