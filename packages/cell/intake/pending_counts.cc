#include "cell/intake/pending_counts.h"

#include <algorithm>
#include <utility>

namespace pomelotray {
namespace {

// An answer is used again for this long. Callers may get a count that is 2 s old.
constexpr absl::Duration kFreshFor = absl::Milliseconds(500);
// Oldest answer of the queue's present pool that may be used if its owner cannot be asked.
constexpr absl::Duration kMaxAge = absl::Milliseconds(1500);
// The same for other pools, which hold jobs of the queue only if its route has changed. Covers the
// time in which a lost owner is replaced.
constexpr absl::Duration kMaxAgeOfOtherPools = absl::Seconds(30);
// An owner of another pool that could not be asked is not asked again for this long: each call may
// take until its timeout.
constexpr absl::Duration kFailureFreshFor = absl::Milliseconds(500);

}  // namespace

Result<int64_t> PendingCounts::Count(const std::string& queue, const std::vector<PartName>& present,
                                     const std::vector<PartName>& all, const AskOwner& ask) {
  int64_t pending = 0;
  const auto add = [&](const PartName& part, const Ages& ages) -> Result<void> {
    BOOST_LEAF_AUTO(answer, AnswerOf(part, ages, ask));
    const auto count = answer.counts.find(queue);
    pending += count == answer.counts.end() ? 0 : count->second;
    return {};
  };
  for (const PartName& part : present) {
    BOOST_LEAF_CHECK(add(part, Ages{kMaxAge, absl::ZeroDuration()}));
  }
  for (const PartName& part : all) {
    if (std::find(present.begin(), present.end(), part) == present.end()) {
      BOOST_LEAF_CHECK(add(part, Ages{kMaxAgeOfOtherPools, kFailureFreshFor}));
    }
  }
  return pending;
}

Result<PendingCounts::Answer> PendingCounts::AnswerOf(const PartName& part, const Ages& ages,
                                                      const AskOwner& ask) {
  const absl::Time now = clock_->Now();
  PartState state = StateOf(part);
  if (now - state.answer.asked < kFreshFor) {
    return state.answer;
  }
  if (!state.error.has_value() || now - state.failed >= ages.failure) {
    const Outcome<ByQueue> counts = Capture([&] { return ask(part); });
    if (counts.ok()) {
      state = PartState{Answer{counts.value(), now}, std::nullopt, absl::InfinitePast()};
    } else {
      state.error = counts.error();
      state.failed = clock_->Now();
    }
    absl::MutexLock lock(&mutex_);
    parts_[part] = state;
  }
  if (state.error.has_value() && clock_->Now() - state.answer.asked > ages.answer) {
    return Fail(*state.error);
  }
  return state.answer;
}

PendingCounts::PartState PendingCounts::StateOf(const PartName& part) const {
  absl::MutexLock lock(&mutex_);
  const auto it = parts_.find(part);
  return it == parts_.end() ? PartState() : it->second;
}

}  // namespace pomelotray
