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

// Sends starts of work that may not be repeated, each after its intent has become durable.
class IntentSender {
 public:
  using Send = std::function<void(const WorkerId&, const TaskStart&)>;

  IntentSender(Journal* journal, const Clock* clock, Send send);
  ~IntentSender();

  void Start();
  // Starts whose intent is not durable yet are never sent.
  void Stop();

  // `sequence` must not be smaller than that of an earlier call.
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
