#ifndef POMELOTRAY_CELL_STORE_UNREADABLE_ENTRIES_H_
#define POMELOTRAY_CELL_STORE_UNREADABLE_ENTRIES_H_

#include <map>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/event_log.h"
#include "ports/transactional_store.h"

namespace pomelotray {

// Logs entries of the store that cannot be decoded. An entry that is read repeatedly is logged once
// for each value that it has. Thread-safe.
class UnreadableEntries {
 public:
  explicit UnreadableEntries(EventLog* events) : events_(events) {}

  void Record(const StoreEntry& entry, const Error& error);

 private:
  EventLog* const events_;
  absl::Mutex mutex_;
  // Hashes of the last logged values by key.
  std::map<std::string, size_t> logged_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_STORE_UNREADABLE_ENTRIES_H_
