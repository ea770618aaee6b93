#ifndef POMELOTRAY_TESTS_SOAK_GANG_BOARD_H_
#define POMELOTRAY_TESTS_SOAK_GANG_BOARD_H_

#include <map>
#include <string>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "tests/soak/run_history.h"

namespace pomelotray {

// The gangs of a soak run, as the stand-ins of the workers see them together. Thread-safe.
class GangBoard {
 public:
  enum class State { kIncomplete, kAtWork, kSucceeded, kBroken };

  explicit GangBoard(RunHistory* history) : history_(history) {}

  // Registers a step that is a gang. Other steps are not known here.
  void Add(const std::string& step, int members);
  bool IsGang(const std::string& step) const;

  // A member has started. It is a violation if the members of a run have different checkpoints.
  void MemberStarted(const std::string& step, int64_t run, const std::string& checkpoint);
  // A member has ended without success, so the gang is broken unless it has succeeded.
  void MemberEnded(const std::string& step, int64_t run);
  // Returns the state of the gang; it succeeds once all members have been at work for `duration`.
  State StateOf(const std::string& step, int64_t run, absl::Duration duration);
  // How long the gang has been at work.
  absl::Duration WorkedFor(const std::string& step, int64_t run) const;

 private:
  struct GangRun {
    int started = 0;
    std::string checkpoint;
    absl::Time complete_since = absl::InfiniteFuture();
    State state = State::kIncomplete;
  };

  RunHistory* const history_;
  mutable absl::Mutex mutex_;
  std::map<std::string, int> members_ ABSL_GUARDED_BY(mutex_);
  std::map<std::pair<std::string, int64_t>, GangRun> runs_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_SOAK_GANG_BOARD_H_
