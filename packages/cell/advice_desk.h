#ifndef POMELOTRAY_CELL_ADVICE_DESK_H_
#define POMELOTRAY_CELL_ADVICE_DESK_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/event_log.h"
#include "cell/cell_membership.h"
#include "cell/cell_ports.h"
#include "cell/schedule_round.h"
#include "ports/peer_port.h"

namespace pomelotray {

// Puts questions to the adviser by way of all instances, because the adviser serves one call at a
// time for each calling VM. One thread for each instance takes the most urgent question that fits
// it. Long questions go by way of the first half of the instances only, at every owner alike, so
// that a short question never queues behind a long one of another owner (head-of-line blocking).
class AdviceDesk {
 public:
  using Done = std::function<void(const AdviceRequest&, const std::optional<Advice>&)>;

  AdviceDesk(InstanceId self, Adviser* adviser, PeerPort* peers, EventLog* events);
  ~AdviceDesk();

  void SetMembers(const std::vector<CellMember>& members);
  // `done` runs on a thread of the desk, also when the question fails.
  void Submit(AdviceRequest request, Done done);
  void Stop();

  // Answers a question of another instance.
  Result<nlohmann::json> Answer(const nlohmann::json& body);

 private:
  struct Question {
    AdviceRequest request;
    Done done;
  };
  struct Caller {
    CellMember member;
    bool retired = false;
    bool takes_long = false;
    std::thread thread;
  };
  // Lower priority numbers first, then the order of arrival.
  using Queue = std::map<std::pair<int, int64_t>, Question>;

  void Run(Caller* caller);
  void ShareOut() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // The question for this caller; the end of the queue when there is none.
  Queue::iterator Next(const Caller& caller) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  std::optional<Advice> Ask(const CellMember& member, const AdviceRequest& request);
  Result<Advice> AskPeer(const CellMember& member, const AdviceRequest& request,
                         absl::Duration timeout);

  const InstanceId self_;
  Adviser* const adviser_;
  PeerPort* const peers_;
  EventLog* const events_;
  absl::Mutex mutex_;
  absl::CondVar changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  int64_t next_number_ ABSL_GUARDED_BY(mutex_) = 0;
  size_t short_callers_ ABSL_GUARDED_BY(mutex_) = 0;
  Queue queue_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::unique_ptr<Caller>> callers_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_ADVICE_DESK_H_
