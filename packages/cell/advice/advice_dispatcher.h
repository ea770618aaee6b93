#ifndef POMELOTRAY_CELL_ADVICE_ADVICE_DISPATCHER_H_
#define POMELOTRAY_CELL_ADVICE_ADVICE_DISPATCHER_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "cell/advice/advice_call_slots.h"
#include "cell/cell_ports.h"
#include "cell/membership/part_assignment.h"
#include "cell/placement/schedule_round.h"
#include "ports/peer_port.h"

namespace pomelotray {

// Queues questions to the adviser by priority, those of steps that yield last, and sends each
// through whichever instance has a free call slot (see AdviceCallSlots). Thread-safe.
class AdviceDispatcher {
 public:
  using Done = std::function<void(const AdviceRequest&, const std::optional<Advice>&)>;

  AdviceDispatcher(InstanceId self, Adviser* adviser, PeerPort* peers, const Clock* clock,
                   EventLog* events);
  ~AdviceDispatcher();

  void SetMembers(const std::vector<CellMember>& members);
  // Queues a question. `done` runs on one of this object's threads; its advice has no value when
  // the call failed. Questions that are not sent yet when Stop() is called are dropped
  // without a call of `done`.
  void Submit(AdviceRequest request, Done done);
  void Stop();

  // Handles another instance's "advise" call: asks the adviser from this instance.
  Result<nlohmann::json> Answer(const nlohmann::json& body);

 private:
  struct Question {
    AdviceRequest request;
    Done done;
  };
  // Key: whether the step yields, priority (lower numbers are more urgent), submission number.
  using Queue = std::map<std::tuple<Yielding, int, int64_t>, Question>;
  // A question together with the call slot that was acquired for it.
  struct Assignment {
    AdviceCallSlot slot;
    CellMember member;
    Question question;
  };

  Queue& QueueFor(QuestionLength length) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Assigns queued questions to free call slots.
  void Dispatch() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Assign(QuestionLength length) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Wakes one idle thread for a new assignment, or starts a thread when none is idle.
  void WakeThread() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Run();
  // Waits for an assignment; returns no value once Stop() was called.
  std::optional<Assignment> NextAssignment();
  void FinishCall(const AdviceCallSlot& slot);
  std::optional<Advice> Ask(const CellMember& member, const AdviceRequest& request);
  Result<Advice> AskPeer(const CellMember& member, const AdviceRequest& request,
                         absl::Duration timeout);

  const InstanceId self_;
  Adviser* const adviser_;
  PeerPort* const peers_;
  const Clock* const clock_;
  EventLog* const events_;
  absl::Mutex mutex_;
  absl::CondVar assignment_ready_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  int64_t next_number_ ABSL_GUARDED_BY(mutex_) = 0;
  std::map<InstanceId, CellMember> members_ ABSL_GUARDED_BY(mutex_);
  AdviceCallSlots call_slots_ ABSL_GUARDED_BY(mutex_);
  Queue short_questions_ ABSL_GUARDED_BY(mutex_);
  Queue long_questions_ ABSL_GUARDED_BY(mutex_);
  // Assigned questions that no thread has started to send yet.
  std::deque<Assignment> ready_ ABSL_GUARDED_BY(mutex_);
  // Threads without an assignment, including newly started ones.
  size_t idle_threads_ ABSL_GUARDED_BY(mutex_) = 0;
  // Grows to the highest number of concurrent calls so far, at most two for each instance.
  std::vector<std::thread> threads_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_ADVICE_ADVICE_DISPATCHER_H_
