#ifndef POMELOTRAY_CELL_OWNERSHIP_OWNER_DISPOSAL_H_
#define POMELOTRAY_CELL_OWNERSHIP_OWNER_DISPOSAL_H_

#include <memory>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "cell/ownership/pool_owner.h"

namespace pomelotray {

// Destroys halted owners on a thread of its own. The destruction of an owner waits for its watch
// and its calls to workers, which takes seconds. Thread-safe.
class OwnerDisposal {
 public:
  OwnerDisposal();
  ~OwnerDisposal();

  // Releases the owner. It is destroyed later unless others still use it.
  void Add(std::shared_ptr<PoolOwner> owner);
  // Destroys all owners that were added, and stops the thread.
  void Stop();

 private:
  void Run();

  absl::Mutex mutex_;
  absl::CondVar changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::vector<std::shared_ptr<PoolOwner>> owners_ ABSL_GUARDED_BY(mutex_);
  std::thread thread_;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_OWNERSHIP_OWNER_DISPOSAL_H_
