#include "tests/soak/gang_board.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace pomelotray {

void GangBoard::Add(const std::string& step, int members) {
  absl::MutexLock lock(&mutex_);
  members_[step] = members;
}

bool GangBoard::IsGang(const std::string& step) const {
  absl::MutexLock lock(&mutex_);
  return members_.count(step) > 0;
}

void GangBoard::MemberStarted(const std::string& step, int64_t run, const std::string& checkpoint) {
  absl::MutexLock lock(&mutex_);
  GangRun& gang = runs_[{step, run}];
  if (gang.started > 0 && gang.checkpoint != checkpoint) {
    history_->AddViolation(absl::StrCat("the members of gang ", step, " run ", run,
                                        " start from the checkpoints \"", gang.checkpoint,
                                        "\" and \"", checkpoint, "\""));
  }
  gang.checkpoint = checkpoint;
  if (++gang.started == members_[step] && gang.state == State::kIncomplete) {
    gang.state = State::kAtWork;
    gang.complete_since = absl::Now();
  }
}

void GangBoard::MemberEnded(const std::string& step, int64_t run) {
  absl::MutexLock lock(&mutex_);
  GangRun& gang = runs_[{step, run}];
  if (gang.state != State::kSucceeded) {
    gang.state = State::kBroken;
  }
}

GangBoard::State GangBoard::StateOf(const std::string& step, int64_t run, absl::Duration duration) {
  absl::MutexLock lock(&mutex_);
  GangRun& gang = runs_[{step, run}];
  if (gang.state == State::kAtWork && absl::Now() - gang.complete_since >= duration) {
    gang.state = State::kSucceeded;
  }
  return gang.state;
}

absl::Duration GangBoard::WorkedFor(const std::string& step, int64_t run) const {
  absl::MutexLock lock(&mutex_);
  const auto it = runs_.find({step, run});
  return it == runs_.end()
             ? absl::ZeroDuration()
             : std::max(absl::ZeroDuration(), absl::Now() - it->second.complete_since);
}

}  // namespace pomelotray
