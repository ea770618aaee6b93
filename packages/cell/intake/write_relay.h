#ifndef POMELOTRAY_CELL_INTAKE_WRITE_RELAY_H_
#define POMELOTRAY_CELL_INTAKE_WRITE_RELAY_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "base/strong_id.h"
#include "cell/membership/part_assignment.h"
#include "ports/peer_port.h"

namespace pomelotray {

// A call that makes another instance write entries of a job.
struct RelayedWrite {
  std::string method;
  JobId job;
  nlohmann::json body;
};

// Sends writes to other instances (relays) while the store is not available to this one. Logs each
// relay that failed to carry out the write. To avoid retry amplification while the store is down
// for all instances, a refusal by all relays is cached for a short time and applied to other writes
// without calling the relays. Thread-safe.
class WriteRelay {
 public:
  WriteRelay(InstanceId self, PeerPort* peers, const Clock* clock, EventLog* events);

  // Returns the answer of the first relay that carries out the write. Errors: kStoreUnavailable if
  // nothing was written and never will be, kOutcomeUnknown if it may be.
  Result<nlohmann::json> Send(const RelayedWrite& write, const std::vector<CellMember>& members,
                              absl::Time deadline);

 private:
  // Returns whether all relays of a recent write reported that the store is unavailable.
  bool IsRefusalCached() const;
  static boost::leaf::error_id StoreUnavailable(const char* reason);
  Outcome<nlohmann::json> SendTo(const CellMember& member, const RelayedWrite& write,
                                 absl::Time deadline) const;
  void LogFailure(const CellMember& member, const RelayedWrite& write, const Error& error) const;

  const InstanceId self_;
  PeerPort* const peers_;
  const Clock* const clock_;
  EventLog* const events_;
  mutable absl::Mutex mutex_;
  absl::Time refusal_cached_until_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_INTAKE_WRITE_RELAY_H_
