#ifndef POMELOTRAY_SCHEDULER_EXECUTOR_POOL_H_
#define POMELOTRAY_SCHEDULER_EXECUTOR_POOL_H_

#include <cstdint>
#include <optional>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"
#include "base/strong_id.h"

namespace pomelotray {

// Tracks the executors of one shard: their slots in use, and their service time and failure rate
// as measured from completed requests. Thread-compatible.
class ExecutorPool {
 public:
  void Upsert(const ExecutorId& executor, int64_t slots, int64_t max_connections);
  void SetAvailable(const ExecutorId& executor, bool available);
  // Stops assigning requests to the executor; its entry is erased once no request is assigned to
  // it.
  void Remove(const ExecutorId& executor);
  // Sets the number of slots still in use by requests that a previous owner of the shard assigned.
  void SetBusySlots(const ExecutorId& executor, int64_t busy_slots);

  // Returns the executor with a free slot and the lowest expected response time, if any.
  std::optional<ExecutorId> Choose() const;
  // Counts one more, or one less, request assigned to the executor.
  void Assign(const ExecutorId& executor);
  void Unassign(const ExecutorId& executor);
  // Updates the averages from a completed request.
  void Observe(const ExecutorId& executor, absl::Duration service_time, bool ok);

  int64_t SlotsInUse(const ExecutorId& executor) const;
  // Sums over the registered and available executors.
  int64_t usable_slots() const { return usable_slots_; }
  int64_t free_slots() const { return free_slots_; }
  // Mean service time over all executors; zero until a request has succeeded.
  absl::Duration MeanServiceTime() const { return absl::Seconds(mean_seconds_); }
  // The mean service time plus twice its mean absolute deviation, which most requests stay within.
  absl::Duration UpperServiceTime() const;

 private:
  struct Executor {
    int64_t slots = 0;
    int64_t max_connections = 0;
    int64_t busy = 0;
    int64_t assigned = 0;
    // False for executors that were removed but still have assigned requests.
    bool known = false;
    bool available = true;
    // Moving average; zero until a request has succeeded.
    double service_seconds = 0;
    double failure_rate = 0;

    int64_t UsableSlots() const;
    int64_t FreeSlots() const;
  };

  double ExpectedSeconds(const Executor& executor) const;
  // Applies `update` to an executor and adjusts usable_slots_ and free_slots_ accordingly.
  template <typename F>
  void UpdateEntry(const ExecutorId& executor, F&& update);

  absl::btree_map<ExecutorId, Executor> executors_;
  int64_t usable_slots_ = 0;
  int64_t free_slots_ = 0;
  double mean_seconds_ = 0;
  double deviation_seconds_ = 0;
};

}  // namespace pomelotray

#endif  // POMELOTRAY_SCHEDULER_EXECUTOR_POOL_H_
