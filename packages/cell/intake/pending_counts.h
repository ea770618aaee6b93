#ifndef POMELOTRAY_CELL_INTAKE_PENDING_COUNTS_H_
#define POMELOTRAY_CELL_INTAKE_PENDING_COUNTS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "base/clock.h"
#include "base/error.h"
#include "cell/membership/pool_part.h"

namespace pomelotray {

// Counts the waiting jobs of queues over the parts of all pools: jobs that were submitted before a
// queue's route changed wait in the pool that the queue had then. Keeps the answers of the owners
// for a short time, so that the number of calls does not grow with that of the requests.
// Thread-safe.
class PendingCounts {
 public:
  // Number of waiting jobs by queue.
  using ByQueue = std::map<std::string, int64_t>;
  // Asks the owner of a part.
  using AskOwner = std::function<Result<ByQueue>(const PartName&)>;

  explicit PendingCounts(const Clock* clock) : clock_(clock) {}

  // `present` are the parts of the queue's pool, `all` those of all pools. Fails with the error of
  // `ask` if the owner of a present part cannot be asked, or that of another part that has not
  // answered recently.
  Result<int64_t> Count(const std::string& queue, const std::vector<PartName>& present,
                        const std::vector<PartName>& all, const AskOwner& ask);

 private:
  struct Answer {
    ByQueue counts;
    absl::Time asked = absl::InfinitePast();
  };
  // What is known of one part.
  struct PartState {
    Answer answer;
    // The last call, if it failed.
    std::optional<Error> error;
    absl::Time failed = absl::InfinitePast();
  };
  // How long answers and failures of a part may be used.
  struct Ages {
    absl::Duration answer;
    absl::Duration failure;
  };

  // Returns a fresh answer of the part or, if its owner cannot be asked, the last one within
  // `ages`.
  Result<Answer> AnswerOf(const PartName& part, const Ages& ages, const AskOwner& ask);
  PartState StateOf(const PartName& part) const;

  const Clock* const clock_;
  mutable absl::Mutex mutex_;
  std::map<PartName, PartState> parts_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_INTAKE_PENDING_COUNTS_H_
