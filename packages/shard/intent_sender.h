#ifndef POMELOTRAY_SHARD_INTENT_SENDER_H_
#define POMELOTRAY_SHARD_INTENT_SENDER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/clock.h"
#include "ports/worker_port.h"
#include "state/journal.h"

namespace pomelotray {

// Sends the starts of tasks that may not be repeated. A start is sent only after the journal record
// of the intent to start the task is durable, so that a later owner knows that the task may have
// run. Starts are sent from a thread of their own, in the order of their sequence numbers.
class IntentSender {
 public:
  using Send = std::function<void(const WorkerId&, const TaskStart&)>;

  IntentSender(Journal* journal, const Clock* clock, Send send);
  ~IntentSender();

  void Start();
  // Stops the thread. Starts whose intent is not durable by then are never sent.
  void Stop();

  // Queues a start whose intent has the journal sequence number `sequence`, which must not be
  // smaller than that of an earlier call.
  void Queue(const WorkerId& worker, const TaskStart& start, uint64_t sequence);

 private:
  struct Intent {
    WorkerId worker;
    TaskStart start;
    uint64_t sequence = 0;
  };

  void Run();

  Journal* const journal_;
  const Clock* const clock_;
  const Send send_;
  absl::Mutex mutex_;
  absl::CondVar changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::deque<Intent> intents_ ABSL_GUARDED_BY(mutex_);
  std::thread thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_INTENT_SENDER_H_
