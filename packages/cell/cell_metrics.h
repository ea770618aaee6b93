#ifndef POMELOTRAY_CELL_CELL_METRICS_H_
#define POMELOTRAY_CELL_CELL_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "base/event.h"

namespace pomelotray {

// Derives the metrics from log events, so that metrics and logs agree: counts the events and
// records the durations in their fields; SetConfiguration() is the exception. The event catalogue
// bounds the number of time series. Thread-safe.
class CellMetrics {
 public:
  explicit CellMetrics(prometheus::Registry* registry);

  void Observe(const Event& event);
  // Sets the version of the configuration in effect, and for how long it has not been known to be
  // the newest one. No event carries these, since the age changes all the time.
  void SetConfiguration(int64_t version, absl::Duration age);

 private:
  prometheus::Counter& CounterOf(EventCode code);
  void ObserveRestart(const Event& event);
  void ObservePartOwners(const Event& event);
  void ObservePoolState(const Event& event);
  void ObserveAtCap(const Event& event);
  void ObserveOverShare(const Event& event);

  prometheus::Family<prometheus::Counter>& events_;
  // Seconds from a job's acceptance to each start of one of its tasks, and to its final state.
  prometheus::Histogram& start_wait_;
  prometheus::Histogram& job_time_;
  // Seconds from a request to its answer, for submissions and refused requests.
  prometheus::Histogram& request_time_;
  // Age, in seconds, of the worker report on which the decision to start a task was based.
  prometheus::Histogram& report_age_;
  // Seconds from one run of a long-running task to the next, and the parts of that time.
  prometheus::Family<prometheus::Histogram>& restart_time_;
  prometheus::Family<prometheus::Gauge>& parts_;
  prometheus::Family<prometheus::Gauge>& slow_workers_;
  // Seconds without an owner, of the pool part that has been without one the longest.
  prometheus::Gauge& unowned_time_;
  // Pairs of images that are known to interfere, by pool part, and starts that avoided one.
  prometheus::Family<prometheus::Gauge>& interfering_pairs_;
  prometheus::Counter& neighbors_avoided_;
  prometheus::Gauge& configuration_version_;
  prometheus::Gauge& configuration_age_;
  // One time series for each customer that was at its cap.
  prometheus::Family<prometheus::Gauge>& at_cap_;
  // Seconds for which customers were over their shares, summed over customers and pool parts, and
  // jobs that exceeded their customers' rates.
  prometheus::Counter& over_share_time_;
  prometheus::Counter& marked_jobs_;
  absl::Mutex mutex_;
  std::map<EventCode, prometheus::Counter*> counters_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_CELL_CELL_METRICS_H_
