#ifndef POMELOTRAY_SCHEDULER_EXECUTOR_POOL_H_
#define POMELOTRAY_SCHEDULER_EXECUTOR_POOL_H_

#include <cstdint>
#include <optional>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"
#include "base/strong_id.h"

namespace pomelotray {

// The executors of one shard: slots in use, and the service time and failures learned from
// answers. Thread-compatible.
class ExecutorPool {
 public:
  void Upsert(const ExecutorId& executor, int64_t slots, int64_t max_connections);
  void SetAvailable(const ExecutorId& executor, bool available);
  // Forgotten once no request is assigned to it.
  void Remove(const ExecutorId& executor);
  void SetBusy(const ExecutorId& executor, int64_t busy_slots);

  // The executor with a free slot that is expected to answer first.
  std::optional<ExecutorId> Choose() const;
  void Assign(const ExecutorId& executor);
  void Free(const ExecutorId& executor);
  void Observe(const ExecutorId& executor, absl::Duration service_time, bool ok);

  int64_t SlotsInUse(const ExecutorId& executor) const;
  // Over the executors that take requests.
  int64_t usable_slots() const { return usable_slots_; }
  int64_t free_slots() const { return free_slots_; }
  // Mean service time; zero until learned.
  absl::Duration MeanServiceTime() const { return absl::Seconds(mean_seconds_); }
  // A service time that most requests stay within.
  absl::Duration UpperServiceTime() const;

 private:
  struct Executor {
    int64_t slots = 0;
    int64_t max_connections = 0;
    int64_t busy = 0;
    int64_t assigned = 0;
    bool known = false;
    bool available = true;
    // Zero until learned.
    double service_seconds = 0;
    double failure_rate = 0;

    int64_t Usable() const;
    int64_t FreeSlots() const;
  };

  double ExpectedSeconds(const Executor& executor) const;
  // Changes an executor and keeps the sums in step.
  template <typename F>
  void Change(const ExecutorId& executor, F&& change);

  absl::btree_map<ExecutorId, Executor> executors_;
  int64_t usable_slots_ = 0;
  int64_t free_slots_ = 0;
  double mean_seconds_ = 0;
  double deviation_seconds_ = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_EXECUTOR_POOL_H_
