#ifndef POMELOTRAY_CELL_STORE_PREFIX_WATCHER_H_
#define POMELOTRAY_CELL_STORE_PREFIX_WATCHER_H_

#include <functional>
#include <string>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "ports/transactional_store.h"

namespace pomelotray {

// Watches all entries with a key prefix in the store on a thread of its own. Lists the entries
// first and then watches for changes. Lists them again if the store has compacted the revisions
// that the watch needs.
class PrefixWatcher {
 public:
  // A connection may stop delivering data without a reset. A watch that is answered at this
  // interval detects that before a new configuration is overdue, which it is 2.5 s after the store
  // has been back for 3 s.
  static constexpr absl::Duration kDefaultWait = absl::Seconds(2);

  // If `complete` is true, `batch` is a full listing: `batch.changed` holds all existing entries.
  using Callback = std::function<void(const WatchBatch& batch, bool complete)>;

  PrefixWatcher(TransactionalStore* store, std::string prefix, const Clock* clock, EventLog* events,
                Callback callback);
  ~PrefixWatcher();

  // Sets a function that is called after each answer of the store, once the callback has returned.
  // Called on the watcher's thread. Must be set before Start().
  void OnAnswer(std::function<void()> answered);
  // Sets how long the store may wait for a change before it answers a watch. Applies to the next
  // call. Thread-safe.
  void SetWait(absl::Duration wait);

  // Starts with a listing, or with a watch from revision `from` if the caller has already listed
  // the entries up to that revision.
  void Start(Revision from = Revision(0));
  void Stop();

 private:
  void Run();
  // ListOrWatch(), ListAll() and WatchOnce() return whether the store answered.
  bool ListOrWatch();
  bool ListAll();
  bool WatchOnce();
  void NoteAnswer() const;
  // Calls the callback. An exception that it throws is logged, since it would end the process.
  void Deliver(const WatchBatch& batch, bool complete);
  // Logs the start or the end of a store outage when the availability of the store changes.
  void RecordAvailability(bool available, const std::string& reason);

  TransactionalStore* const store_;
  const std::string prefix_;
  const Clock* const clock_;
  EventLog* const events_;
  const Callback callback_;
  std::function<void()> answered_;
  // Revision from which to watch. 0 means that the entries must be listed first.
  Revision next_;
  bool store_available_ = true;
  absl::Mutex mutex_;
  absl::CondVar changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  absl::Duration wait_ ABSL_GUARDED_BY(mutex_) = kDefaultWait;
  std::thread thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_STORE_PREFIX_WATCHER_H_
