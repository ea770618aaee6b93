#ifndef POMELOTRAY_CELL_CELL_METRICS_H_
#define POMELOTRAY_CELL_CELL_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "base/event.h"

namespace pomelotray {

// Counts log events and measures the times that they carry, so that metrics and logs tell the same.
// The number of time series is bounded by the event catalogue. Thread-safe.
class CellMetrics {
 public:
  explicit CellMetrics(prometheus::Registry* registry);

  void Observe(const Event& event);

 private:
  prometheus::Counter& CounterOf(EventCode code);

  prometheus::Family<prometheus::Counter>& events_;
  // From acceptance to each start of a task, and to a final state; in seconds.
  prometheus::Histogram& start_wait_;
  prometheus::Histogram& job_time_;
  // From a caller's request to its answer, for submissions and refusals; in seconds.
  prometheus::Histogram& request_time_;
  // Age of the worker's report on which a start was decided; in seconds.
  prometheus::Histogram& report_age_;
  absl::Mutex mutex_;
  std::map<EventCode, prometheus::Counter*> counters_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_CELL_METRICS_H_
