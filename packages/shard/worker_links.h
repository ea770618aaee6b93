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

// The set of links from one owner to its workers. Thread-safe. Stop() and JoinRetired() wait for
// the threads of links, so they must not be called with a lock held that the listener acquires. The
// other methods do not wait for these threads.
class WorkerLinks {
 public:
  WorkerLinks(WorkerPort* port, const Clock* clock, WorkerLinkListener* listener,
              const WorkerLinkOptions& options);
  ~WorkerLinks();

  // Starts a link to the worker unless one exists.
  void Add(const VmEntry& vm);
  // Returns false, without sending anything, when there is no link to the worker.
  bool QueueStart(const WorkerId& worker, const TaskStart& start);
  void QueueStop(const WorkerId& worker, const AttemptId& attempt, StopMode mode);
  // Removes the link to a worker that no longer exists. JoinRetired() stops and joins its thread.
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
