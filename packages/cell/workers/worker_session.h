#ifndef POMELOTRAY_CELL_WORKERS_WORKER_SESSION_H_
#define POMELOTRAY_CELL_WORKERS_WORKER_SESSION_H_

#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/clock.h"
#include "base/timer_queue.h"
#include "cell/cell_ports.h"
#include "cell/ownership/pool_scheduler.h"

namespace pomelotray {

// Implemented by the owner of the pool part: provides the holds and lease ends that a session
// sends, and receives the worker's answers. Thread-safe; no call blocks.
class WorkerSessionListener {
 public:
  virtual ~WorkerSessionListener() = default;
  // Whether orders may be sent. False once the owner is stopping, and while another instance may
  // have taken over because this process was suspended.
  virtual bool MaySendOrders() const = 0;
  // Returns the next hold. Returns no value if ends of attempts that the worker reported are not
  // stored yet, since the hold could not acknowledge them. With `wait_expired` there is always a
  // value.
  virtual std::optional<HoldOrder> PrepareHold(const WorkerId& id, bool wait_expired) = 0;
  virtual void HoldAnswered(const WorkerId& id, const Outcome<HoldAnswer>& answer, absl::Time sent,
                            absl::Time received) = 0;
  // Returns the lease end to send with a start, or no value if the task must not be started now.
  virtual std::optional<WorkerTime> PrepareStart(const WorkerId& id, const AttemptKey& key) = 0;
  virtual FencingToken token() const = 0;
  // Delivers the report that was requested after stopping an attempt whose start was not answered.
  virtual void StopChecked(const WorkerId& id, const AttemptKey& key, const WorkerReport& report,
                           absl::Time sent) = 0;
  virtual void OrderAnswered(const WorkerId& id, const WorkerOrder& order,
                             const OrderOutcome& outcome) = 0;
};

// Communicates with one worker over two connections, with one call at a time on each. The first
// carries holds, which are long polls: they extend the leases of the worker's tasks and return when
// an attempt ends. The second carries start and stop orders, and probes before some starts. The
// session has no threads: answers and timers trigger the next call on a thread of the connector or
// of the timer queue.
class WorkerSession : public std::enable_shared_from_this<WorkerSession> {
 public:
  // All must outlive the session, except for `listener`, which must live until WaitUntilUnused()
  // returns.
  struct Context {
    WorkerConnector* connector = nullptr;
    TimerQueue* timers = nullptr;
    const Clock* clock = nullptr;
    WorkerSessionListener* listener = nullptr;
  };

  WorkerSession(const WorkerDescription& worker, const Context& context);

  const std::string& address() const { return worker_.address; }
  // Sends the first hold.
  void Begin();
  // Queues a start or stop order.
  void Send(WorkerOrder order);
  // Tells the session that all ends that the worker reported are stored.
  void EndsStored();
  // Sends nothing from now on and ignores answers.
  void RequestStop();
  // To be called after RequestStop(): returns when no call to the listener is in progress any more.
  // Deadlocks if called by the listener within such a call.
  void WaitUntilUnused();

 private:
  // Registers a call to the listener, so that WaitUntilUnused() waits for its end.
  class ListenerCall;
  using Step = void (WorkerSession::*)();

  void RunLater(absl::Duration delay, Step step);
  void NextHold();
  // Asks the listener for the next hold and sends it, or waits until ends are stored.
  void PrepareAndSendHold(bool wait_expired);
  // Lets EndsStored() resume the hold from now on. Returns the number of this wait.
  int64_t BeginWait();
  // Ends wait number `wait`. Returns false if it has ended before, because another thread sends the
  // next hold.
  bool EndWait(int64_t wait);
  // Does nothing if wait number `wait` has already ended.
  void ResumeHold(int64_t wait, bool wait_expired);
  void SendHold(const HoldOrder& order);
  void HoldAnswered(const Outcome<HoldAnswer>& answer, absl::Time sent);

  void NextOrder();
  void SendStart(const WorkerOrder& order);
  // Requests a report and sends the start only once the worker has answered.
  void ProbeBeforeStart(const WorkerOrder& order);
  void ProbeAnswered(const WorkerOrder& order, const Outcome<HoldAnswer>& answer);
  // Tells the listener that the start was not sent, and goes on with the next order.
  void SkipStart(const WorkerOrder& order);
  // Whether the worker has answered a call so lately that it need not be probed.
  bool HasJustAnswered() const;
  void NoteAnswer();
  void SendStop(const WorkerOrder& order);
  void OrderAnswered(const WorkerOrder& order, const Outcome<OrderAnswer>& answer);
  // Requests a report at once to learn the state of a stopped attempt, since the answer to the hold
  // in progress may take a second.
  void CheckStop(const AttemptKey& key);
  void ScheduleNextOrder();

  const WorkerDescription worker_;
  const Context context_;
  const std::unique_ptr<WorkerChannel> hold_channel_;
  const std::unique_ptr<WorkerChannel> order_channel_;

  mutable absl::Mutex mutex_;
  absl::CondVar listener_calls_ended_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  int listener_calls_ ABSL_GUARDED_BY(mutex_) = 0;
  // Whether the next hold waits for ends to be stored. wait_number_ identifies the wait, so that a
  // late timer does not end a later one.
  bool waiting_for_ends_ ABSL_GUARDED_BY(mutex_) = false;
  int64_t wait_number_ ABSL_GUARDED_BY(mutex_) = 0;
  std::deque<WorkerOrder> orders_ ABSL_GUARDED_BY(mutex_);
  // When the worker answered last, on either connection.
  absl::Time answered_at_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  // Whether an order is in progress or NextOrder() is scheduled.
  bool order_active_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_WORKERS_WORKER_SESSION_H_
