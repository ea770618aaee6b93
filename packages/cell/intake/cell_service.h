#ifndef POMELOTRAY_CELL_INTAKE_CELL_SERVICE_H_
#define POMELOTRAY_CELL_INTAKE_CELL_SERVICE_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "cell/cell_configuration.h"
#include "cell/intake/caller_authorization.h"
#include "cell/intake/job_registry.h"
#include "cell/intake/pending_counts.h"
#include "cell/intake/submission_writer.h"
#include "cell/intake/write_relay.h"
#include "cell/membership/cell_membership.h"
#include "cell/ownership/pool_owner.h"
#include "cell/records/job_record.h"
#include "ports/peer_port.h"
#include "ports/transactional_store.h"

namespace pomelotray {

// Returns whether a peer's answer to a "store_health" call says that the store is not available to
// it. False for an answer of another form.
bool ReportsStoreOutage(const nlohmann::json& answer);

// Handles the requests that callers may send to any instance. The instance that receives a job or a
// cancellation writes it to the store. Job states are read from the owner of the job's part, or
// from the store if the owner does not answer. The part of a job is the one that the entry of its
// id names (JobRegistry); the route in force decides only where a new job is stored. Thread-safe.
class CellService {
 public:
  using FindOwner = std::function<std::shared_ptr<PoolOwner>(const PartName&)>;

  ~CellService();
  CellService(InstanceId self, TransactionalStore* store, PeerPort* peers,
              CellMembership* membership, const Clock* clock, EventLog* events,
              FindOwner find_owner);

  void SetConfiguration(std::shared_ptr<const CellConfiguration> configuration);
  // Returns null before the first configuration is set.
  std::shared_ptr<const CellConfiguration> configuration() const;

  // Returns after the job is stored. Errors: kInvalidArgument, also if the job can never start
  // within the customer's cap; kStoreUnavailable if the job was not stored and will never run;
  // kOutcomeUnknown if it may have been stored.
  Result<void> Submit(const QueueRoute& route, const JobId& id, WorkflowSpec spec,
                      const CallerRights& caller, absl::Time deadline);
  // Errors: kNotFound if the job does not exist or the caller may not see it; kUnavailable if
  // neither the owner nor the store answers.
  Result<CellJobState> State(const QueueRoute& route, const JobId& id, const CallerRights& caller,
                             absl::Time deadline);
  Result<void> Cancel(const QueueRoute& route, const JobId& id, const CallerRights& caller,
                      absl::Time deadline);
  // Returns the number of jobs of the queue none of whose tasks has started, whichever pool they
  // were submitted to.
  Result<int64_t> Pending(const QueueRoute& route, absl::Time deadline);

  // Answers a call of another instance.
  Result<nlohmann::json> AnswerPeer(const PeerCall& call);
  void Stop();

 private:
  Result<int> PartCount(const QueueRoute& route) const;
  // Returns the part that stores a new job with this id for the queue.
  Result<PartName> PartOf(const QueueRoute& route, const JobId& id) const;
  // Carries out a write from this instance or, if the store refuses this instance, through another
  // one. If no instance reaches the store, waits for it within the limits. The answer is that of
  // AnswerWrite().
  Result<nlohmann::json> Write(const RelayedWrite& write, const CreationLimits& limits);
  // Carries out a write of this instance or of another one for which this one relays.
  Result<nlohmann::json> AnswerWrite(const std::string& method, const nlohmann::json& body,
                                     const CreationLimits& limits);
  Result<std::optional<JobStatus>> StatusFromOwner(const PartName& part, const JobId& id,
                                                   absl::Time deadline);
  // Finds the job whichever part holds it. `source` becomes "owner" or "store".
  Result<JobStatus> FindStatus(const QueueRoute& route, const JobId& id, absl::Time deadline,
                               const char** source);
  // Returns the parts of all pools of the configuration.
  std::vector<PartName> AllParts() const;
  Result<nlohmann::json> CallOwner(const PartName& part, const std::string& method,
                                   nlohmann::json body, absl::Time deadline);

  const InstanceId self_;
  PeerPort* const peers_;
  CellMembership* const membership_;
  const Clock* const clock_;
  EventLog* const events_;
  const FindOwner find_owner_;
  // Queues a notification about a stored entry for the owner of the part. Does not wait for the
  // owner.
  void NotifyOwner(const PartName& part, const std::string& key, const std::string& value);
  void NotifyLoop();

  struct OwnerNotification {
    PartName part;
    std::string key;
    std::string value;
  };

  WriteRelay relay_;
  SubmissionWriter writer_;
  JobRegistry registry_;
  PendingCounts pending_;
  mutable absl::Mutex mutex_;
  std::shared_ptr<const CellConfiguration> configuration_ ABSL_GUARDED_BY(mutex_);
  absl::CondVar notification_queued_;
  std::deque<OwnerNotification> notifications_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread notification_thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_INTAKE_CELL_SERVICE_H_
