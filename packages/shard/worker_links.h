#ifndef POMELOTRAY_SHARD_WORKER_LINKS_H_
#define POMELOTRAY_SHARD_WORKER_LINKS_H_

#include <map>
#include <memory>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "model/vm.h"
#include "shard/worker_link.h"

namespace pomelotray {

// The links of one owner to its workers. Thread-safe; only Stop() and JoinRetired() wait for links'
// threads and must be called without locks that the listener takes.
class WorkerLinks {
 public:
  WorkerLinks(WorkerPort* port, const Clock* clock, WorkerLinkListener* listener,
              const WorkerLinkOptions& options);
  ~WorkerLinks();

  void Add(const VmEntry& vm);
  // False when there is no link to the worker; then nothing is sent.
  bool QueueStart(const WorkerId& worker, const TaskStart& start);
  void QueueStop(const WorkerId& worker, const AttemptId& attempt, StopMode mode);
  // Ends the link of a worker that is gone; its thread is joined by JoinRetired().
  void Retire(const WorkerId& worker);
  void JoinRetired();
  void Stop();

 private:
  WorkerPort* const port_;
  const Clock* const clock_;
  WorkerLinkListener* const listener_;
  const WorkerLinkOptions options_;
  absl::Mutex mutex_;
  bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
  std::map<WorkerId, std::unique_ptr<WorkerLink>> links_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::unique_ptr<WorkerLink>> retired_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SHARD_WORKER_LINKS_H_
