#ifndef POMELOTRAY_CELL_STORE_REVISION_HISTORY_H_
#define POMELOTRAY_CELL_STORE_REVISION_HISTORY_H_

#include <deque>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "ports/transactional_store.h"

namespace pomelotray {

// When the store's revision was known to have reached certain values, by the clock of this
// instance. It dates an entry that another instance wrote without a comparison of two clocks: an
// entry with revision R was written before the first answer of the store that shows R or a later
// revision. Thread-safe.
class RevisionHistory {
 public:
  // Notes that an answer received at `now` shows that the store has reached the revision.
  void Note(Revision revision, absl::Time now);
  // Returns the earliest known time by which the store had reached the revision, or the infinite
  // future if no answer has shown that.
  absl::Time ReachedBy(Revision revision) const;

 private:
  mutable absl::Mutex mutex_;
  // By rising revision and time.
  std::deque<std::pair<Revision, absl::Time>> samples_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_STORE_REVISION_HISTORY_H_
