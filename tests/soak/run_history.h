#ifndef POMELOTRAY_TESTS_SOAK_RUN_HISTORY_H_
#define POMELOTRAY_TESTS_SOAK_RUN_HISTORY_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace pomelotray {

// Whether tasks with this payload are long-running, by its first words.
bool IsLongRunning(const std::string& payload);
std::string LongRunningPayload(const std::string& job);

// A long-running task that has run and does not run now.
struct StoppedTask {
  std::string task;
  absl::Time last_run_ended;
};

// Records the jobs and task runs that the callers and workers of a soak test observe, and checks
// them for violations of the guarantees to callers. Thread-safe.
class RunHistory {
 public:
  void Submitted(const std::string& job, const std::string& payload);
  void Accepted(const std::string& job);
  // Records that every submission attempt failed in a way that rules out that the job was stored.
  void Refused(const std::string& job);

  // Records that a cancellation of the job was answered, as carried out or because there is none.
  void CancelAcknowledged(const std::string& job);
  bool IsCancelled(const std::string& job) const;

  void Started(const std::string& worker, const std::string& task, int64_t run,
               const std::string& payload);
  void Ended(const std::string& worker, const std::string& task, int64_t run);
  // Records that the task crashed the worker that ran it.
  void CrashedBy(const std::string& task);
  // Records that the owner acknowledged a successful run of the task.
  void SuccessAcknowledged(const std::string& task);
  // Records that a member of a gang ended because it had waited in vain for the others.
  void GangIncomplete(const std::string& task, int64_t run);
  // Adds a violation that the caller detected itself.
  void AddViolation(const std::string& text);

  std::vector<std::string> violations() const;
  std::vector<StoppedTask> StoppedLongRunningTasks() const;
  // The long-running tasks that have started, and their number.
  std::vector<std::string> LongRunningTasks() const;
  int CountLongRunningTasks() const;
  // Returns how long each long-running task was without a run between two runs, the longest first.
  std::vector<absl::Duration> LongRunningGaps() const;
  // The runs that were recorded with GangIncomplete(), as "<task>#<run>".
  std::vector<std::string> incomplete_gangs() const;
  std::set<std::string> accepted() const;

 private:
  void AddViolationLocked(std::string text) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  mutable absl::Mutex mutex_;
  std::map<std::string, std::string> payloads_ ABSL_GUARDED_BY(mutex_);
  std::set<std::string> accepted_ ABSL_GUARDED_BY(mutex_);
  // When the first cancellation of each job was answered.
  std::map<std::string, absl::Time> cancelled_ ABSL_GUARDED_BY(mutex_);
  std::set<std::string> refused_ ABSL_GUARDED_BY(mutex_);
  std::set<std::string> started_jobs_ ABSL_GUARDED_BY(mutex_);
  // Workers that currently run a task, by task.
  std::map<std::string, std::set<std::string>> running_ ABSL_GUARDED_BY(mutex_);
  std::set<std::string> long_running_tasks_ ABSL_GUARDED_BY(mutex_);
  // When the last run of each long-running task that does not run now ended.
  std::map<std::string, absl::Time> stopped_long_running_ ABSL_GUARDED_BY(mutex_);
  std::vector<absl::Duration> long_running_gaps_ ABSL_GUARDED_BY(mutex_);
  std::set<std::string> succeeded_ ABSL_GUARDED_BY(mutex_);
  // The workers that each task has crashed, and its starts since the third crash.
  std::map<std::string, int> crashes_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, int> starts_since_third_crash_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::string> incomplete_gangs_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::string> violations_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_SOAK_RUN_HISTORY_H_
