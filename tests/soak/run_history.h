#ifndef POMELOTRAY_TESTS_SOAK_RUN_HISTORY_H_
#define POMELOTRAY_TESTS_SOAK_RUN_HISTORY_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace pomelotray {

// What the workers and callers of a soak saw, and which promises were broken. Thread-safe.
class RunHistory {
 public:
  void Submitted(const std::string& job, const std::string& payload);
  void Accepted(const std::string& job);
  // All tries of the job were refused with the word that it was not stored.
  void Refused(const std::string& job);

  void Started(const std::string& worker, const std::string& task, int64_t run,
               const std::string& payload);
  void Ended(const std::string& worker, const std::string& task, int64_t run);
  // The owner acknowledged that the run succeeded.
  void SuccessAcknowledged(const std::string& task);
  void Broken(const std::string& text);

  std::vector<std::string> broken() const;
  std::set<std::string> accepted() const;

 private:
  void Add(std::string text) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  mutable absl::Mutex mutex_;
  std::map<std::string, std::string> payloads_ ABSL_GUARDED_BY(mutex_);
  std::set<std::string> accepted_ ABSL_GUARDED_BY(mutex_);
  std::set<std::string> refused_ ABSL_GUARDED_BY(mutex_);
  std::set<std::string> started_jobs_ ABSL_GUARDED_BY(mutex_);
  // Workers that run a task now.
  std::map<std::string, std::set<std::string>> running_ ABSL_GUARDED_BY(mutex_);
  std::set<std::string> succeeded_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::string> broken_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace pomelotray

#endif  // POMELOTRAY_TESTS_SOAK_RUN_HISTORY_H_
