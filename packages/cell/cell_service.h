#ifndef POMELOTRAY_CELL_CELL_SERVICE_H_
#define POMELOTRAY_CELL_CELL_SERVICE_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "cell/cell_configuration.h"
#include "cell/cell_membership.h"
#include "cell/job_record.h"
#include "cell/pool_owner.h"
#include "cell/relayed_write.h"
#include "cell/submission_writer.h"
#include "ports/peer_port.h"
#include "ports/transactional_store.h"

namespace pomelotray {

// What callers may ask of any instance. Jobs and cancellations are written to the store by the
// instance that received them; states come from the pool's owner, or from the store when the owner
// does not answer. Thread-safe.
class CellService {
 public:
  using FindOwner = std::function<std::shared_ptr<PoolOwner>(const PartName&)>;

  ~CellService();
  CellService(InstanceId self, TransactionalStore* store, PeerPort* peers,
              CellMembership* membership, const Clock* clock, EventLog* events,
              FindOwner find_owner);

  void SetConfiguration(std::shared_ptr<const CellConfiguration> configuration);
  // Null before the first configuration.
  std::shared_ptr<const CellConfiguration> configuration() const;

  // Returns once the job is stored. Errors: kInvalidArgument; kStoreUnavailable when the job
  // certainly never runs; kOutcomeUnknown when it may.
  Result<void> Submit(const QueueRoute& route, const JobId& id, WorkflowSpec spec,
                      absl::Time deadline);
  // kNotFound: no such job. kUnavailable: neither the owner nor the store answers.
  Result<CellJobState> State(const QueueRoute& route, const JobId& id, absl::Time deadline);
  Result<void> Cancel(const QueueRoute& route, const JobId& id, absl::Time deadline);
  // Jobs of the queue of which no task has started.
  Result<int64_t> Pending(const QueueRoute& route, absl::Time deadline);

  // Answers another instance.
  Result<nlohmann::json> AnswerPeer(const PeerCall& call);
  void Stop();

 private:
  Result<int> PartCount(const QueueRoute& route) const;
  // The part of the queue's pool that the job belongs to.
  Result<PartName> PartOf(const QueueRoute& route, const JobId& id) const;
  // Creates an entry here or, when the store turns this instance away, by way of another.
  Result<void> CreateEntry(const NewEntry& entry, absl::Time deadline);
  Result<void> CreateHere(const NewEntry& entry, absl::Time deadline);
  Result<std::optional<CellJobState>> StateFromOwner(const PartName& part, const JobId& id,
                                                     absl::Time deadline);
  Result<CellJobState> StateFromStore(const PartName& part, const JobId& id);
  Result<nlohmann::json> CallOwner(const PartName& part, const std::string& method,
                                   nlohmann::json body, absl::Time deadline);

  const InstanceId self_;
  TransactionalStore* const store_;
  PeerPort* const peers_;
  CellMembership* const membership_;
  const Clock* const clock_;
  EventLog* const events_;
  const FindOwner find_owner_;
  // Tells the pool's owner what was stored, without waiting for it.
  void NotifyOwner(const PartName& part, const std::string& key, const std::string& value);
  void NotifyLoop();

  struct Notice {
    PartName part;
    std::string key;
    std::string value;
  };

  RelayedWrite relay_;
  SubmissionWriter writer_;
  mutable absl::Mutex mutex_;
  std::shared_ptr<const CellConfiguration> configuration_ ABSL_GUARDED_BY(mutex_);
  absl::CondVar noticed_;
  std::deque<Notice> notices_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread notifier_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_CELL_SERVICE_H_
