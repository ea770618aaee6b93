#ifndef POMELOTRAY_CELL_ADVICE_DESK_H_
#define POMELOTRAY_CELL_ADVICE_DESK_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/event_log.h"
#include "cell/advice_lanes.h"
#include "cell/cell_ports.h"
#include "cell/part_assignment.h"
#include "cell/schedule_round.h"
#include "ports/peer_port.h"

namespace pomelotray {

// Puts questions to the adviser by way of all instances (see AdviceLanes), the most urgent first.
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
  // Lower priority numbers first, then the order of arrival.
  using Queue = std::map<std::pair<int, int64_t>, Question>;
  // A question with the lane that was taken for it.
  struct Assignment {
    AdviceLane lane;
    CellMember member;
    Question question;
  };

  Queue& QueueOf(QuestionLength length) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Gives waiting questions to the free lanes.
  void Dispatch() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Assign(QuestionLength length) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Wakes one thread for a new assignment, or starts one when all are calling.
  void WakeThread() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Run();
  // Waits for an assignment; no value when the desk stops.
  std::optional<Assignment> NextAssignment();
  void CallEnded(const AdviceLane& lane);
  std::optional<Advice> Ask(const CellMember& member, const AdviceRequest& request);
  Result<Advice> AskPeer(const CellMember& member, const AdviceRequest& request,
                         absl::Duration timeout);

  const InstanceId self_;
  Adviser* const adviser_;
  PeerPort* const peers_;
  EventLog* const events_;
  absl::Mutex mutex_;
  absl::CondVar assigned_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  int64_t next_number_ ABSL_GUARDED_BY(mutex_) = 0;
  std::map<InstanceId, CellMember> members_ ABSL_GUARDED_BY(mutex_);
  AdviceLanes lanes_ ABSL_GUARDED_BY(mutex_);
  Queue short_ ABSL_GUARDED_BY(mutex_);
  Queue long_ ABSL_GUARDED_BY(mutex_);
  // Assigned questions that no thread has taken up yet.
  std::deque<Assignment> ready_ ABSL_GUARDED_BY(mutex_);
  // Threads without an assignment, also those that have just been started.
  size_t idle_threads_ ABSL_GUARDED_BY(mutex_) = 0;
  // As many as calls were ever on their way at once: two for each instance at most.
  std::vector<std::thread> threads_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_ADVICE_DESK_H_
