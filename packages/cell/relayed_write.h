#ifndef POMELOTRAY_CELL_RELAYED_WRITE_H_
#define POMELOTRAY_CELL_RELAYED_WRITE_H_

#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "base/strong_id.h"
#include "cell/new_entry.h"
#include "cell/part_assignment.h"
#include "ports/peer_port.h"

namespace pomelotray {

// Creates entries by way of other instances while the store does not answer this one. Logs each
// instance that did not create the entry. While the store is down for all, refuses without asking
// for each entry anew (retry amplification). Thread-safe.
class RelayedWrite {
 public:
  RelayedWrite(InstanceId self, PeerPort* peers, const Clock* clock, EventLog* events);

  // Errors: kStoreUnavailable when the entry certainly is not written and never will be,
  // kOutcomeUnknown when it may be.
  Result<void> Create(const NewEntry& entry, const std::vector<CellMember>& members,
                      absl::Time deadline);

 private:
  // The store refused all relays of another entry a moment ago.
  bool IsRefusedByAll() const;
  static Result<void> Refusal(const char* reason);
  Outcome<void> CreateAt(const CellMember& member, const NewEntry& entry,
                         absl::Time deadline) const;
  void LogFailure(const CellMember& member, const NewEntry& entry, const Error& error) const;

  const InstanceId self_;
  PeerPort* const peers_;
  const Clock* const clock_;
  EventLog* const events_;
  mutable absl::Mutex mutex_;
  absl::Time refused_until_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_RELAYED_WRITE_H_
