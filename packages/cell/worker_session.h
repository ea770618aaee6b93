#ifndef POMELOTRAY_CELL_WORKER_SESSION_H_
#define POMELOTRAY_CELL_WORKER_SESSION_H_

#include <deque>
#include <memory>
#include <optional>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/clock.h"
#include "base/timer_queue.h"
#include "cell/cell_ports.h"
#include "cell/pool_scheduler.h"

namespace pomelotray {

// What a session needs from its pool's owner. Thread-safe; no call blocks.
class WorkerSessionListener {
 public:
  virtual ~WorkerSessionListener() = default;
  // Orders may be sent: this process has not been replaced while it stood still.
  virtual bool MayOrder() const = 0;
  // No value: ends that the worker listed are not stored yet, so that the hold could not
  // acknowledge them. With `wait_over` there is always a value.
  virtual std::optional<HoldOrder> NextHold(const WorkerId& id, bool wait_over) = 0;
  virtual void HoldAnswered(const WorkerId& id, const Outcome<HoldAnswer>& answer, absl::Time sent,
                            absl::Time received) = 0;
  virtual std::optional<WorkerTime> PrepareStart(const WorkerId& id, const AttemptKey& key) = 0;
  virtual FencingToken token() const = 0;
  // The worker's report after the stop of a start without an answer.
  virtual void StopChecked(const WorkerId& id, const AttemptKey& key, const WorkerReport& report,
                           absl::Time sent) = 0;
  virtual void OrderAnswered(const WorkerId& id, const WorkerOrder& order,
                             const OrderOutcome& outcome) = 0;
};

// Talks to one worker by two chains of calls, each on a connection of its own: one keeps the leases
// and waits for ends, the other sends orders one after the other. Has no threads: a chain goes on
// when a call was answered or a timer runs out, on the connector's or the timers' thread.
class WorkerSession : public std::enable_shared_from_this<WorkerSession> {
 public:
  // All outlive the session, but for `listener`, which needs to live until WaitUntilUnused().
  struct Context {
    WorkerConnector* connector = nullptr;
    TimerQueue* timers = nullptr;
    const Clock* clock = nullptr;
    WorkerSessionListener* listener = nullptr;
  };

  WorkerSession(const WorkerDescription& worker, const Context& context);

  // Sends the first hold.
  void Begin();
  void Send(WorkerOrder order);
  // All ends that the worker listed are stored.
  void EndsStored();
  // Nothing more is sent, and answers are dropped.
  void RequestStop();
  // After RequestStop(): waits until the listener is not called any more. Not to be called within a
  // call of the listener.
  void WaitUntilUnused();

 private:
  // Keeps the listener alive while it is called.
  class ListenerUse;
  using Step = void (WorkerSession::*)();

  void RunLater(absl::Duration delay, Step step);
  void NextHold();
  void TakeHold(bool wait_over);
  // From here on EndsStored() resumes the hold. Returns the number of the wait.
  int64_t BeginWait();
  void EndWait();
  // Does nothing when that wait has ended.
  void ResumeHold(int64_t wait, bool wait_over);
  void SendHold(const HoldOrder& order);
  void HoldAnswered(const Outcome<HoldAnswer>& answer, absl::Time sent);

  void NextOrder();
  void Start(const WorkerOrder& order);
  void Stop(const WorkerOrder& order);
  void OrderAnswered(const WorkerOrder& order, const Outcome<OrderAnswer>& answer);
  // Asks at once what became of a stopped attempt: the hold on its way may take a second.
  void CheckStop(const AttemptKey& key);
  void OrderDone();

  const WorkerDescription worker_;
  const Context context_;
  const std::unique_ptr<WorkerOrders> holds_;
  const std::unique_ptr<WorkerOrders> orders_channel_;

  absl::Mutex mutex_;
  absl::CondVar unused_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  int listener_uses_ ABSL_GUARDED_BY(mutex_) = 0;
  // The next hold waits for ends to be stored; the number tells one wait from the next.
  bool awaits_ends_ ABSL_GUARDED_BY(mutex_) = false;
  int64_t wait_number_ ABSL_GUARDED_BY(mutex_) = 0;
  std::deque<WorkerOrder> orders_ ABSL_GUARDED_BY(mutex_);
  // An order is in progress, or about to be taken.
  bool ordering_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_WORKER_SESSION_H_
