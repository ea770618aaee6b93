#ifndef POMELOTRAY_CELL_WORKER_SESSION_H_
#define POMELOTRAY_CELL_WORKER_SESSION_H_

#include <deque>
#include <functional>
#include <memory>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/clock.h"
#include "cell/cell_ports.h"
#include "cell/pool_scheduler.h"

namespace pomelotray {

// What a session needs from its pool's owner. Thread-safe.
class WorkerSessionListener {
 public:
  virtual ~WorkerSessionListener() = default;
  // Waits until orders may be sent: this process has not been replaced while it stood still. False
  // when the session should end.
  virtual bool WaitForPermission() = 0;
  virtual HoldOrder NextHold(const WorkerId& id) = 0;
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

// Talks to one worker: one thread keeps the leases and waits for ends, another sends orders one
// after the other. Each has a connection of its own.
class WorkerSession {
 public:
  WorkerSession(const WorkerDescription& worker, WorkerConnector* connector, const Clock* clock,
                WorkerSessionListener* listener);
  // Joins the threads; takes up to one hold.
  ~WorkerSession();

  void Send(WorkerOrder order);
  // Makes the threads end after their present call.
  void RequestStop();

 private:
  void HoldLoop();
  void OrderLoop();
  // Asks at once what became of a stopped attempt: the hold on its way may take a second.
  void CheckStop(WorkerOrders* channel, const AttemptKey& key);
  void Execute(WorkerOrders* channel, const WorkerOrder& order);
  bool PauseUnlessStopped(absl::Duration pause);

  const WorkerDescription worker_;
  WorkerConnector* const connector_;
  const Clock* const clock_;
  WorkerSessionListener* const listener_;
  absl::Mutex mutex_;
  absl::CondVar changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::deque<WorkerOrder> orders_ ABSL_GUARDED_BY(mutex_);
  std::thread hold_thread_;
  std::thread order_thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_WORKER_SESSION_H_
