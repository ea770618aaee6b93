#ifndef POMELOTRAY_CELL_PREFIX_MIRROR_H_
#define POMELOTRAY_CELL_PREFIX_MIRROR_H_

#include <functional>
#include <string>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "ports/transactional_store.h"

namespace pomelotray {

// Follows all entries below a prefix of the store on a thread of its own: lists them, then watches.
// When the history was cut off it lists again.
class PrefixMirror {
 public:
  // `complete`: `batch.changed` holds all entries there are.
  using Callback = std::function<void(const WatchBatch& batch, bool complete)>;

  PrefixMirror(TransactionalStore* store, std::string prefix, const Clock* clock, EventLog* events,
               Callback callback);
  ~PrefixMirror();

  // Starts with a list, or with a watch when the caller has listed up to `from`.
  void Start(Revision from = Revision(0));
  void Stop();

 private:
  void Run();
  // Returns whether the store answered.
  bool Step();
  bool ListAll();
  bool WatchOnce();
  void NoteAnswer(bool answered, const std::string& reason);

  TransactionalStore* const store_;
  const std::string prefix_;
  const Clock* const clock_;
  EventLog* const events_;
  const Callback callback_;
  // 0: list first.
  Revision next_;
  bool answering_ = true;
  absl::Mutex mutex_;
  absl::CondVar changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_PREFIX_MIRROR_H_
